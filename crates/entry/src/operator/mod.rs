//! HTTP handlers of the listener for operators: health, metrics, state and changes.

mod auth;
mod dump;
mod handlers;
mod propose;

pub(crate) use handlers::{AppData, configure_routes};
