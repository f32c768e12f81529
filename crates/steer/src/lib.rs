//! The decisions: which site, which target, whether to admit, wait, retry or refuse.
//!
//! Everything here is pure; time and chance are arguments. See `docs/DESIGN.md`,
//! sections "Slots and queues", "Caps" and "Retries and poison requests".

mod atlas;
mod budget;
mod health;
mod pool;
mod quarantine;
mod site;
mod window;

pub use atlas::Atlas;
pub use budget::Budget;
pub use health::Health;
pub use pool::{Admission, Class, End, Grant, Limits, Offer, Pool, Snapshot, TargetSnapshot};
pub use quarantine::{LIMIT as QUARANTINE_LIMIT, Quarantine};
pub use site::{Candidate, Choice, SPILL_MS, order};
pub use window::Window;

/// Name of a pool: the targets of one service at one site.
#[must_use]
pub fn pool_name(service: &str, site: &str) -> String {
    format!("{service}@{site}")
}
