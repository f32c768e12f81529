//! Benchmarks: compares load balancing policies on real processes, simulates workloads, and
//! measures how cost scales with size for `docs/CAPACITY.md`.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "results are printed with few digits"
)]

mod baseline;
mod fleet_yaml;
mod measurement;
mod open_loop;
mod plot;
mod quota;
pub mod quota_fleet;
mod scaling;
mod scene;
mod simulation;

pub use baseline::{Baseline, Policy};
pub use fleet_yaml::build_fleet_yaml;
pub use measurement::Measurement;
pub use open_loop::{OpenLoop, SystemUnderTest};
pub use plot::plot_p99;
pub use quota::{QuotaCase, measure_quotas};
pub use scaling::{
    ScalingPoint, measure_idle_vms, measure_idle_vms_with_fleet, measure_in_process,
    measure_lookups,
};
pub use scene::{Fault, Scene, all_scenes};
pub use simulation::{KindSummary, LoadView, Workload, WorkloadError, simulate};
