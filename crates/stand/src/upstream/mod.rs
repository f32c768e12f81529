//! Stand-in for upstreams: targets with slots, faults and a log of each run.

mod control;
mod http;
mod log;
mod target;

pub use control::serve;
pub use log::Run;
pub use target::{Behaviour, Fault, TargetSpec};
