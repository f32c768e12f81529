//! The queue and the slots of one service at one site.

mod caps;
mod lane;
mod mean;
mod queue;
mod target;
mod types;

pub use queue::Pool;
pub use types::{Admission, Class, End, Grant, Limits, Offer, Snapshot, TargetSnapshot};
