//! HTTP exchanges with targets, the store and other VMs.

mod call;
mod client;
mod connection;
mod outcome;
pub(crate) mod relay;
mod send;

pub(crate) use call::ClientRequest;
pub use client::Client;
pub(crate) use connection::tune;
pub(crate) use outcome::{Broken, NotRun, Outcome, Response};
pub(crate) use send::{Outgoing, Way};
