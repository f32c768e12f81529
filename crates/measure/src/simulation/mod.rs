//! Simulates a workload on the load balancer to find the credit that it can earn.
//!
//! All VMs share one balancer, which then tracks every request in flight, or each VM has its
//! own. The difference is the cost of incomplete knowledge.

mod simulator;
mod target;
mod workload;

pub use simulator::{KindSummary, LoadView, simulate};
pub use workload::{Workload, WorkloadError};
