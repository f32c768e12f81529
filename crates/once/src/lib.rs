//! At most once: the life of one send of a non-idempotent request.
//!
//! [`Attempt`] is a pure state machine. It decides when a claim is written, when
//! the request may be dispatched and which outcome is true. The model check in
//! the `model` crate explores this same code. See `docs/DESIGN.md`, section
//! "At most once".

mod attempt;
mod key;
mod safeguards;

pub use attempt::{Action, Attempt, Event, ExistingClaim};
pub use key::{Key, KeyError, MAX_CLOCK_SKEW_MS, RETENTION_MS};
pub use safeguards::Safeguards;
