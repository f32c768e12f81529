//! What a day could earn: the pure decisions on a model of VMs and targets, once with one
//! board for all VMs, which then know everything, and once with a board for each.

mod simulator;
mod target;
mod workload;

pub use simulator::{KindSummary, LoadView, simulate};
pub use workload::{Workload, WorkloadError};
