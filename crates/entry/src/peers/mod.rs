//! What VMs tell each other: gossip, the control document and forwarded requests.

mod calls;
mod exchange;
mod handlers;
mod prober;

pub(crate) use calls::{forward, push_document};
pub(crate) use exchange::{broadcast, introduce, note_crash};
pub(crate) use handlers::routes;
pub(crate) use prober::Prober;
