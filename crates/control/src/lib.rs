//! The control document: the preset in force and the targets, zones and VMs that are leaving.
//!
//! [`Replica`] holds the newest version that this VM has seen. [`apply_change`] builds the
//! next version from a [`Change`], and [`Proposer`] writes it to the store (the table service).
//! Nothing here does I/O. See `docs/DESIGN.md`, section "One preset, in force everywhere".

mod document;
mod errors;
mod proposer;
mod replica;

pub use document::{apply_change, initial_document, is_leaving};
pub use errors::Rejection;
pub use proposer::{Action, Proposer, StoreEvent};
pub use replica::Replica;
pub use wire::{Change, Document, Kind, Mark};
