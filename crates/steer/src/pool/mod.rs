//! Queues, slots and targets of one service at one site.

mod class_queue;
mod moving_average;
mod queue;
mod rate_caps;
mod target;
mod types;

pub use queue::Pool;
pub use types::{
    Admission, Completion, Grant, PoolSnapshot, RateLimits, RequestClass, SlotRequest,
    TargetSnapshot,
};
