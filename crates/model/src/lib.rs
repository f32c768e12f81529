//! Model checks of the protocol core.
//!
//! A small specification of callers, VMs, the table service and upstreams moves
//! the state machines that ship ([`once::Attempt`], [`control::Proposer`],
//! [`control::Replica`]) through every order of events inside stated bounds.
//! Each property is also checked on weakened variants, which must be refuted by
//! a shortest trace. See `docs/PROOFS.md`.

mod claims;
mod presets;
mod search;

pub use claims::{Bounds as ClaimBounds, World as ClaimWorld};
pub use presets::{Bounds as PresetBounds, Variant as PresetVariant, World as PresetWorld};
pub use search::{Outcome, explore};
