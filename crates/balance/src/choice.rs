//! Which target runs a request, or that none should.

use std::{cmp::Ordering, time::Duration};

/// How far a target is from the VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    Zone,
    /// Same region.
    Region,
    /// Another region.
    Far,
}

/// Weights of the decision.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// What leaving the zone costs, as a part of the latency objective.
    pub leave_zone: f64,
    /// What leaving the region costs on top.
    pub leave_region: f64,
    /// What missing the objective costs, as a part of the objective.
    pub late: f64,
    /// Requests that may wait at a target, as a part of its slots.
    pub queue: f64,
    /// Longest expected time to an answer that is let in, in objectives.
    pub patience: f64,
    /// How much a target further down an object's order is put back, as a part of
    /// the running time.
    pub spread: f64,
    /// How much slower a cold target is taken to be.
    pub cold_factor: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            leave_zone: 0.15,
            leave_region: 0.1,
            late: 1.0,
            queue: 2.0,
            patience: 3.0,
            spread: 0.1,
            cold_factor: 2.0,
        }
    }
}

/// A target that may run the request.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// Identifier.
    pub id: &'a str,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Requests at it now.
    pub in_flight: f64,
    /// How far it is.
    pub distance: Distance,
    /// Time there and back, in seconds.
    pub round_trip_s: f64,
    /// Place in the object's order among the targets at the same distance.
    pub rank: usize,
    /// Whether it handled the object lately.
    pub warm: bool,
    /// Whether it has just started.
    pub cold: bool,
    /// Running time relative to its service.
    pub slowness: f64,
    /// Part of requests that it turns away or spoils.
    pub trouble: f64,
}

/// What is to be decided.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// Expected running time where the object is known, in seconds.
    pub warm_s: f64,
    /// Expected running time elsewhere, in seconds.
    pub cold_s: f64,
    /// Time left until the latency objective, in seconds; negative when it has passed.
    pub objective_left_s: f64,
    /// The route's latency objective, in seconds.
    pub objective_s: f64,
    /// Time left until the request ends without an answer, in seconds.
    pub deadline_left_s: f64,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// To this candidate.
    Send {
        /// Its place among the candidates.
        index: usize,
        /// Expected time to the answer, in seconds.
        expected_s: f64,
    },
    /// Nowhere: no target could answer in time.
    Refuse {
        /// When a target is expected to have room.
        after: Duration,
    },
}

/// Takes the target with the lowest cost among those that can answer in time.
///
/// The cost is the expected time to the answer, raised by what distance, lateness and
/// trouble cost. An object stays where it is known until the wait there outweighs the
/// longer running time elsewhere; with that, a crowd does not scatter objects over targets
/// that do not know them, which would lengthen every request and feed the crowd.
#[must_use]
pub fn choose(ask: &Ask, candidates: &[Candidate<'_>], policy: &Policy) -> Decision {
    let mut best: Option<(f64, f64, usize)> = None;
    let mut soonest = f64::INFINITY;
    let longest = ask.deadline_left_s.min(policy.patience * ask.objective_s);
    for (index, candidate) in candidates.iter().enumerate() {
        let slots = f64::from(candidate.slots.max(1));
        let full = candidate.in_flight >= slots * (1.0 + policy.queue);
        let wait = wait_s(ask, candidate);
        let expected = candidate.round_trip_s + wait + run_s(ask, candidate, policy);
        soonest = soonest.min(wait);
        if full || expected > longest {
            continue;
        }
        let cost = expected + surcharge_s(ask, candidate, policy, expected);
        let better = best.is_none_or(|(least, _, _)| cost.total_cmp(&least) == Ordering::Less);
        if better {
            best = Some((cost, expected, index));
        }
    }
    match best {
        Some((_, expected_s, index)) => Decision::Send { index, expected_s },
        None => Decision::Refuse {
            after: come_back(soonest, ask),
        },
    }
}

fn wait_s(ask: &Ask, candidate: &Candidate<'_>) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let ahead = (candidate.in_flight - slots + 1.0).max(0.0);
    ahead / slots * ask.warm_s * candidate.slowness
}

fn run_s(ask: &Ask, candidate: &Candidate<'_>, policy: &Policy) -> f64 {
    let base = if candidate.warm {
        ask.warm_s
    } else {
        ask.cold_s
    };
    let factor = if candidate.cold {
        policy.cold_factor
    } else {
        1.0
    };
    base * factor * candidate.slowness
}

fn surcharge_s(ask: &Ask, candidate: &Candidate<'_>, policy: &Policy, expected: f64) -> f64 {
    let distance = match candidate.distance {
        Distance::Zone => 0.0,
        Distance::Region => policy.leave_zone,
        Distance::Far => policy.leave_zone + policy.leave_region,
    };
    let late = if expected > ask.objective_left_s {
        policy.late
    } else {
        0.0
    };
    let rank = f64::from(u32::try_from(candidate.rank).unwrap_or(u32::MAX));
    (distance + late + candidate.trouble) * ask.objective_s + rank * policy.spread * ask.warm_s
}

/// Time after which a target is expected to have room, at least a tenth of a running time.
fn come_back(soonest_s: f64, ask: &Ask) -> Duration {
    let known = if soonest_s.is_finite() {
        soonest_s
    } else {
        ask.objective_s
    };
    Duration::from_secs_f64(known.max(ask.warm_s * 0.1).min(60.0))
}
