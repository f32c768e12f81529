//! At-most-once execution of non-idempotent requests.
//!
//! [`Attempt`] is a state machine without I/O. It decides when a claim on the idempotency
//! key is written to the store (the table service), when the request may be dispatched and
//! which outcome is reported. The model check in the `model` crate explores this same code.
//! See `docs/DESIGN.md`, section "At most once".

mod attempt;
mod key;
mod safeguards;

pub use attempt::{Action, Attempt, Event, ExistingClaim};
pub use key::{Key, KeyError, MAX_CLOCK_SKEW_MS, RETENTION_MS};
pub use safeguards::Safeguards;
