//! The port to upstreams, over HTTP/1.1.

mod client;
mod exchange;

pub(crate) use client::{Clients, KEEP_ALIVE};
pub(crate) use exchange::{Call, Ending, exchange};
