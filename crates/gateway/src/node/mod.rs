//! The state of one VM. Each part is in its own cell, which is never borrowed across an await.

mod changes;
mod eras;
mod queue_owners;
mod reachability;
mod request;
mod selection;
mod state;
mod statements;
mod vm_lookup;

pub(crate) use queue_owners::{AVOID_TIME, Path, QueueOwner, QueueOwners};
pub(crate) use reachability::check_reachability;
pub(crate) use request::{Assignment, QueueEntry, RequestContext, Reservation, Selection};
pub(crate) use selection::RegionSummary;
pub use state::Node;
pub(crate) use state::duration_ms;
