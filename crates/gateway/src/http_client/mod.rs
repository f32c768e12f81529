//! HTTP client for requests to targets, the platform's store and other VMs.

mod arriving;
mod buffered;
mod client;
mod connection;
mod outcome;
pub(crate) mod relay;
mod request;
mod response_body;
mod send;
mod send_tracker;
mod streamed;

pub(crate) use arriving::Arriving;
pub use client::Client;
pub(crate) use outcome::{NotExecutedReason, Outcome, Reply, ResponseFault, TargetResponse};
pub(crate) use request::{ClientRequest, ClientResponse};
pub use response_body::{Incomplete, ResponseBody};
pub(crate) use send::{Attempt, Reuse, TARGET_CONNECT_TIMEOUT, TargetRequest};
pub(crate) use send_tracker::{Receiver, SendTracker};
pub(crate) use streamed::{StreamEnd, has_memory_for_stream};
