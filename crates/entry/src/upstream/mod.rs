//! The port to upstreams, over HTTP/1.1.

mod client;
mod send;

pub(crate) use client::{Clients, IDLE_CONNECTION_TIMEOUT};
pub(crate) use send::{Call, SendResult, send_request};
