//! What one VM knows, each part behind its own borrow that is never held across an await.

mod changes;
mod directory;
mod queue_owners;
mod request;
mod selection;
mod state;

pub(crate) use queue_owners::{QueueOwner, QueueOwners};
pub(crate) use request::{Assignment, QueueEntry, RequestContext, Reservation, Selection};
pub use state::Node;
pub(crate) use state::duration_ms;
