//! The catalog of targets, replicated from the platform's store.
//!
//! [`Catalog`] is pure: rows come in with their store version and the time of arrival, and it
//! determines which targets may receive requests. A row never overrides a newer one, whichever
//! source delivers it. See `docs/PLATFORM.md`, section "Targets".

mod catalog;
mod replica;
mod target;

pub use catalog::Catalog;
pub use replica::RecordReplica;
pub use target::{State, Target};
