//! Which VMs there are: a view that VMs keep by probing each other.
//!
//! [`View`] is pure; it merges what gossip brings, turns silence into suspicion
//! and suspicion into absence. [`select_owner`] derives from a view which VM runs the
//! queue of a pool. See `docs/DESIGN.md`, section "Membership".

mod owner;
mod view;

pub use owner::select_owner;
pub use view::{Timeouts, View};
pub use wire::{Member, Status};
