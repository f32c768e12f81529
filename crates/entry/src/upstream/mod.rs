//! HTTP/1.1 client for upstreams, and the HTTP clients for other VMs.

mod client;
mod send;

pub(crate) use client::{Clients, IDLE_CONNECTION_TIMEOUT};
pub(crate) use send::{Call, SendResult, send_request};
