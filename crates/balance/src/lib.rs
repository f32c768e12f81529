//! The decisions of a VM that shares targets with VMs that it does not ask: which
//! target runs a request, when to refuse, when to send again.
//!
//! Everything here is pure; time is an argument. See `docs/PLATFORM.md`, section
//! "Decisions".

mod board;
mod choice;
mod cold;
mod gauge;
mod hash;
mod retry;
mod times;
mod warmth;

pub use board::{Board, Sent};
pub use choice::{Ask, Candidate, Decision, Distance, Policy, choose};
pub use cold::{Ramp, sponsors};
pub use gauge::{Gauge, Report};
pub use hash::weight;
pub use retry::{Retries, RetryRule};
pub use times::Times;
pub use warmth::Warmth;
