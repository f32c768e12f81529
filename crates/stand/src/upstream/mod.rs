//! Stand-in for upstreams: targets with limited slots, fault injection and a run log.

mod control;
mod http;
mod log;
mod target;

pub use control::serve;
pub use log::Run;
pub use target::{Behaviour, Fault, TargetSpec};
