//! Measures how much of a customer's quota its VMs serve, and by how much a window exceeds it.

use crate::quota_fleet::{Fleet, RULE, limit};

/// Rate limit of the customer, in requests per second; it is a large customer.
const REQUESTS_PER_S: f64 = 360.0;
const VMS: [usize; 3] = [3, 12, 71];
/// How many times its rate the customer asks for.
const FACTORS: [u32; 3] = [1, 2, 8];
const RUN_IN_MS: u64 = 6_000;
const MEASURED_MS: u64 = 20_000;
/// Time for which a killed owner stays away.
const RESTART_MS: u64 = 4_000;

/// Runs a fleet of so many VMs while the customer sends at a rate.
type Run = fn(&mut Fleet, usize, f64);

/// The result of one case.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaCase {
    /// What failed, if anything.
    pub name: &'static str,
    /// Number of VMs.
    pub vms: usize,
    /// How many times its rate the customer asked for.
    pub factor: u32,
    /// Part of the limit of all windows that was used.
    pub used: f64,
    /// Requests in the worst window, as a part of the bound.
    pub worst_window: f64,
}

/// Measures all cases.
#[must_use]
pub fn measure_quotas() -> Vec<QuotaCase> {
    let failures: [(&str, Run); 3] = [
        ("calm", |fleet, _, rate| fleet.run(MEASURED_MS, rate)),
        ("cut in two", run_cut),
        ("owner killed", run_owner_killed),
    ];
    let mut cases = Vec::new();
    for (name, run) in failures {
        for vms in VMS {
            for factor in FACTORS {
                cases.push(measure_case(name, vms, factor, run));
            }
        }
    }
    cases
}

fn measure_case(name: &'static str, vms: usize, factor: u32, run: Run) -> QuotaCase {
    let limit = limit(REQUESTS_PER_S);
    let rate = REQUESTS_PER_S * f64::from(factor);
    let mut fleet = Fleet::start(vms, limit, 1);
    fleet.run(RUN_IN_MS, rate);
    let start = fleet.now;
    run(&mut fleet, vms, rate);
    QuotaCase {
        name,
        vms,
        factor,
        used: fleet.use_since(start),
        worst_window: fleet.worst_window() as f64 / RULE.window_bound(limit),
    }
}

fn run_cut(fleet: &mut Fleet, vms: usize, rate: f64) {
    for vm in (0..vms).step_by(2) {
        fleet.set_side(vm, Some(1));
    }
    fleet.run(MEASURED_MS, rate);
}

fn run_owner_killed(fleet: &mut Fleet, _: usize, rate: f64) {
    let owner = fleet.owner();
    fleet.set_side(owner, None);
    fleet.run(RESTART_MS, rate);
    fleet.restart(owner);
    fleet.run(MEASURED_MS - RESTART_MS, rate);
}
