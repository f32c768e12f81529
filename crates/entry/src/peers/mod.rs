//! Communication between VMs: gossip, the control document and forwarded requests.

mod calls;
mod gossip;
mod handlers;
mod prober;

pub(crate) use calls::{forward_request, push_document};
pub(crate) use gossip::{add_peer, broadcast_gossip, report_crash};
pub(crate) use handlers::configure_routes;
pub(crate) use prober::Prober;
