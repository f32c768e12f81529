//! The decisions of a VM that shares targets with VMs that it does not ask: which
//! target runs a request, when to refuse, when to send again.
//!
//! Everything here is pure; time is an argument. See `docs/PLATFORM.md`, section
//! "Decisions".

mod board;
mod candidates;
mod choice;
mod cold;
mod gauge;
mod hash;
mod queue;
mod retry;
mod source;
mod times;
mod urgency;
mod warmth;
mod wish;

pub use board::Board;
pub use choice::{Ask, Candidate, Distance, Policy, Verdict, choose};
pub use cold::{Ramp, sponsors};
pub use gauge::{Gauge, Report};
pub use hash::weight;
pub use queue::{Queues, Turn};
pub use retry::{Retries, RetryRule};
pub use source::source;
pub use times::{Belief, Times};
pub use urgency::Urgency;
pub use warmth::Warmth;
pub use wish::{Decision, Place, Sent, Wish};
