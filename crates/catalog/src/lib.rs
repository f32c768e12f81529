//! The catalog of targets, replicated from the platform's store.
//!
//! [`Catalog`] receives rows with their store revision and determines which targets may receive
//! requests. A row never overrides a newer one, whichever source delivers it.
//! [`RecordReplica`] keeps the rows themselves and passes them on to peers, encoded once for those that
//! are in step ([`BatchCache`]); [`EraTracker`] tells when the store was restored from an older snapshot, and [`WatchTimeouts`] how long a call for
//! changes is relied on. Nothing here does I/O or reads a clock: every `now` is an argument, the time since the start of the process.
//! See `docs/PLATFORM.md`, section "Targets".

mod batch_cache;
mod catalog;
mod era;
mod evacuation;
mod replica;
mod target;
mod watch_timeouts;

pub use batch_cache::{BatchCache, BatchState};
pub use catalog::Catalog;
pub use era::{EraChange, EraTracker, NamedEra};
pub use replica::{MAX_BATCH_CHANGES, RecordReplica};
pub use target::{Target, TargetState};
pub use watch_timeouts::WatchTimeouts;
