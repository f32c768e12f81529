//! HTTP handlers of the listener for callers: look-ups and requests to services.

mod lookup;
mod parse;
mod response;
mod serve;

pub(crate) use serve::configure_routes;
