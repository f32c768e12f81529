//! Cluster membership: the VMs that are alive, found by gossip and mutual probes.
//!
//! [`View`] merges the records received by gossip and handles failed probes: a member that
//! does not respond is suspected, and a suspect that stays silent counts as gone. It does
//! no I/O and reads no clock. Gossip carries only changes and may be lost, so that members also take
//! over all records of each other now and then ([`choose_sync_partner`]). [`Links`] holds the rates of
//! their links. [`select_owner`] derives from a view which VM runs the queue of a pool. See
//! `docs/DESIGN.md`, section "Membership".

mod links;
mod owner;
mod sync;
mod view;

pub use links::Links;
pub use owner::select_owner;
pub use sync::{Scope, choose_first_contacts, choose_sync_partner, delay_before_sync, sync_scopes};
pub use view::{Timeouts, View};
pub use wire::{Member, Status};
