//! The listener for operators: health, metrics, dump and changes.

mod auth;
mod dump;
mod handlers;
mod propose;

pub(crate) use handlers::{Shared, routes};
