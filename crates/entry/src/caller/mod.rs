//! HTTP handlers of the listener for callers: lookups and requests to services.

mod lookup;
mod parse;
mod response;
mod serve;

pub(crate) use serve::configure_routes;
