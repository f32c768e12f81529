//! HTTP client for requests to targets, the platform's store and other VMs.

mod client;
mod connection;
mod outcome;
pub(crate) mod relay;
mod request;
mod send;

pub use client::Client;
pub(crate) use connection::set_socket_options;
pub(crate) use outcome::{NotExecutedReason, Outcome, ResponseFault, TargetResponse};
pub(crate) use request::ClientRequest;
pub(crate) use send::{Attempt, TargetRequest};
