//! HTTP client for requests to targets, the platform's store and other VMs.

mod buffered;
mod classify;
mod client;
mod connection;
mod outcome;
mod partial_response;
pub(crate) mod relay;
mod request;
mod response_body;
mod send;
mod send_tracker;
mod streamed;
mod target_request;

pub use client::Client;
pub(crate) use outcome::{NotExecutedReason, Outcome, Reply, ResponseFault, TargetResponse};
pub(crate) use partial_response::PartialResponse;
pub(crate) use request::{ClientRequest, ClientResponse};
pub use response_body::{Incomplete, ResponseBody};
pub(crate) use send::TARGET_CONNECT_TIMEOUT;
pub(crate) use send_tracker::{Receiver, SendTracker};
pub(crate) use streamed::{StreamEnd, has_memory_for_stream};
pub(crate) use target_request::{Attempt, Reuse, TargetRequest};
