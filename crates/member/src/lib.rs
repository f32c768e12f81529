//! Cluster membership: the VMs that are alive, found by gossip and mutual probes.
//!
//! [`View`] merges the records received by gossip and handles failed probes: a member that
//! does not respond is suspected, and a suspect that stays silent counts as gone. It does
//! no I/O and reads no clock. [`select_owner`] derives from a view which VM runs the queue
//! of a pool. See `docs/DESIGN.md`, section "Membership".

mod owner;
mod view;

pub use owner::select_owner;
pub use view::{Timeouts, View};
pub use wire::{Member, Status};
