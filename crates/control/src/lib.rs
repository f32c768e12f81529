//! The control document: which preset is in force and what is leaving.
//!
//! [`Replica`] keeps the highest version that this VM has seen, [`Change`] makes
//! the next version, [`Proposer`] carries a change into the table service. All
//! are pure. See `docs/DESIGN.md`, section "One preset, in force everywhere".

mod document;
mod errors;
mod proposer;
mod replica;

pub use document::{apply_change, initial_document, is_leaving};
pub use errors::Rejection;
pub use proposer::{Proposer, Step, StoreEvent};
pub use replica::Replica;
pub use wire::{Change, Document, Kind, Mark};
