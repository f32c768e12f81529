//! Bounded model checking of the protocol's state machines.
//!
//! A small model of callers, VMs, the table service and upstreams drives the state
//! machines of the product ([`once::Attempt`], [`control::Proposer`],
//! [`control::Replica`], [`catalog::RecordReplica`], [`catalog::EraTracker`],
//! [`customer::Freshness`]) through every
//! order of events within given bounds.
//! Each invariant is also checked on weakened variants of the protocol, where the search must
//! find a violation. See `docs/PROOFS.md`.

mod claims;
mod eras;
mod presets;
mod revocation;
mod search;

pub use claims::{Bounds as ClaimBounds, State as ClaimState};
pub use eras::{Bounds as EraBounds, State as EraState, Variant as EraVariant};
pub use presets::{Bounds as PresetBounds, State as PresetState, Variant as PresetVariant};
pub use revocation::{
    Bounds as RevocationBounds, State as RevocationState, Variant as RevocationVariant,
};
pub use search::{CheckResult, check_invariant};
