//! HTTP server for callers and for requests relayed by other VMs.

mod attempt;
mod body;
mod departure;
mod exchange;
mod head;
mod hedge;
mod identity;
mod in_flight;
mod overdue;
mod progress;
mod quota;
mod record;
mod relayed;
mod response;
mod retry;
mod serve;
mod server;

pub(crate) use relayed::{is_relayed, serve_relayed_request};
pub use response::HttpResponse;
pub(crate) use response::text_response;
pub(crate) use serve::serve_caller_request;
pub use server::{ServerConfig, serve_http};
