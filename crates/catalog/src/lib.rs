//! The targets that there are, as the platform's store tells it.
//!
//! [`Catalog`] is pure: rows come in with the store's version and the time of
//! their arrival, and it says which targets may get work. A row never takes it
//! back, whoever brings it. See `docs/PLATFORM.md`, section "Targets".

mod catalog;
mod replica;
mod target;

pub use catalog::Catalog;
pub use replica::RecordReplica;
pub use target::{State, Target};
