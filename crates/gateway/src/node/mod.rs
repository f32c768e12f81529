//! The state of one VM. Each part is in its own cell, which is never borrowed across an await.

mod changes;
mod copies;
mod customers;
mod eras;
mod fair_share;
mod fleet;
mod freshness;
mod held_token;
mod queue_owners;
mod quota;
mod reachability;
mod region_summary;
mod request;
mod retries;
mod second_home;
mod selection;
mod shedding;
mod shutdown;
mod state;
mod statements;
mod store_health;
mod traffic;
mod vm_lookup;

use changes::to_f64;
pub(crate) use copies::CopyCheck;
pub(crate) use held_token::HeldToken;
pub(crate) use queue_owners::{AVOID_TIME, Path, QueueOwner, QueueOwners};
pub(crate) use quota::{Quotas, Reaction, maintain_quotas};
pub(crate) use reachability::check_reachability;
pub(crate) use region_summary::RegionSummary;
pub(crate) use request::{
    Assignment, Divertible, QueueEntry, RequestContext, Reservation, Selection,
};
pub(crate) use retries::RetryCause;
pub use state::Node;
pub(crate) use state::duration_ms;
use store_health::TableHealth;
pub(crate) use traffic::{Cause, report_traffic};
