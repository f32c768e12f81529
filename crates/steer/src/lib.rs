//! Load-balancing decisions: site and target selection, admission, queueing, retries.
//!
//! Nothing here does I/O, reads a clock or draws random numbers; the caller passes
//! them in. Every `now` and deadline is a time since the start of the process. See
//! `docs/DESIGN.md`, sections "Slots and queues", "Caps" and "Retries and poison requests".

mod health;
mod load_reports;
mod pool;
mod quarantine;
mod region_table;
mod retry_budget;
mod site;
mod sliding_window;

pub use health::Health;
pub use load_reports::LoadReports;
pub use pool::{
    Admission, Completion, Grant, Pool, PoolSnapshot, RateLimits, RequestClass, SlotRequest,
    TargetSnapshot,
};
pub use quarantine::{QUARANTINE_CRASH_THRESHOLD, Quarantine};
pub use region_table::RegionTable;
pub use retry_budget::RetryBudget;
pub use site::{SPILLOVER_THRESHOLD_MS, SiteCandidate, SiteSelector, order_sites};
pub use sliding_window::SlidingWindow;

/// Returns the name of the pool of a service at a site, as `service@site`.
#[must_use]
pub fn pool_name(service: &str, site: &str) -> String {
    format!("{service}@{site}")
}
