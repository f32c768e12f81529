//! Which target runs a request, whether it waits for it, or that none should.

use {crate::Affinity, std::time::Duration};

/// How far a target is from the VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// Same availability zone.
    SameZone,
    /// Same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

/// Weights of the decision.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// What leaving the zone costs, as a part of the latency objective.
    pub cross_zone_cost: f64,
    /// What the region that is not an object's own costs.
    pub cross_region_cost: f64,
    /// What missing the objective costs, as a part of the objective.
    pub late_cost: f64,
    /// How much more a running time counts than a wait: it takes a slot from others.
    pub occupancy_cost: f64,
    /// Wait that is let in even if the objective is missed, as a part of the objective.
    pub min_accepted_wait: f64,
    /// Least time to come back that is stated, as a part of the objective.
    pub min_retry_after: f64,
    /// How much a target further down an object's order is put back, as a part of
    /// the running time.
    pub rank_cost: f64,
    /// How much slower a cold target is taken to be.
    pub cold_slowdown: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            cross_zone_cost: 0.15,
            cross_region_cost: 0.3,
            late_cost: 1.0,
            occupancy_cost: 0.5,
            min_accepted_wait: 0.3,
            min_retry_after: 0.25,
            rank_cost: 0.1,
            cold_slowdown: 2.0,
        }
    }
}

/// Longest time to come back that is stated.
const MAX_RETRY_S: f64 = 60.0;

/// A target that may run the request.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// Identifier.
    pub id: &'a str,
    /// Requests that it may have at a time.
    pub limit: f64,
    /// Requests that it runs at a time.
    pub slots: f64,
    /// Requests at it now, and those that wait for it before this one.
    pub requests_ahead: f64,
    /// How far it is.
    pub locality: Locality,
    /// Whether the object belongs where the target is.
    pub in_preferred_region: bool,
    /// Time there and back, in seconds.
    pub round_trip_s: f64,
    /// Place in the object's order among the targets at the same distance.
    pub rank: usize,
    /// Whether it knows the object.
    pub affinity: Affinity,
    /// Whether it has just started.
    pub is_cold: bool,
    /// Running time relative to its service.
    pub slowdown: f64,
    /// Part of requests that it turns away or spoils.
    pub failure_rate: f64,
}

/// What is to be decided.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Expected running time where the object is known, in seconds.
    pub cached_run_s: f64,
    /// Expected running time elsewhere, in seconds.
    pub uncached_run_s: f64,
    /// Time since the caller asked first, in seconds.
    pub caller_wait_s: f64,
    /// Time since the request arrived here, in seconds.
    pub local_wait_s: f64,
    /// The route's latency objective, in seconds.
    pub objective_s: f64,
    /// Time left until the request ends without an answer, in seconds.
    pub time_left_s: f64,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Selection {
    /// It goes to this candidate now.
    Send(usize),
    /// It waits for this candidate.
    Wait(usize),
    /// No target could answer in time.
    Refuse {
        /// When a target is expected to have room.
        retry_after: Duration,
    },
}

/// Takes the target with the lowest cost, or waits for it, or refuses.
///
/// The cost is the expected time to the answer, raised by what distance, lateness,
/// occupancy and trouble cost. An object stays where it is known until the wait there
/// outweighs the longer running time elsewhere; so a crowd does not scatter objects over
/// targets that do not know them, which would lengthen every request and feed the crowd.
#[must_use]
pub fn select_candidate(ask: &Timing, candidates: &[Candidate<'_>], policy: &Policy) -> Selection {
    let mut order: Vec<(f64, usize)> = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        order.push((cost_s(ask, candidate, policy), index));
    }
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut soonest = ask.objective_s;
    for (_, index) in order {
        let candidate = &candidates[index];
        if candidate.requests_ahead < candidate.limit {
            return Selection::Send(index);
        }
        let wait = wait_s(ask, candidate);
        if wait <= bearable_s(ask, candidate, policy) {
            return Selection::Wait(index);
        }
        soonest = soonest.min(wait);
    }
    let after = soonest.clamp(policy.min_retry_after * ask.objective_s, MAX_RETRY_S);
    Selection::Refuse {
        retry_after: Duration::from_secs_f64(after),
    }
}

/// Longest wait for a target after which the answer is still worth having.
fn bearable_s(ask: &Timing, candidate: &Candidate<'_>, policy: &Policy) -> f64 {
    let run = run_s(ask, candidate, policy) + candidate.round_trip_s;
    let in_time = ask.objective_s - ask.caller_wait_s - run;
    let least = policy.min_accepted_wait * ask.objective_s - ask.local_wait_s;
    in_time.max(least).min(ask.time_left_s - run)
}

/// Expected time until the target begins with the request.
fn wait_s(ask: &Timing, candidate: &Candidate<'_>) -> f64 {
    let before = (candidate.requests_ahead - candidate.slots + 1.0).max(0.0);
    before / candidate.slots.max(1.0) * ask.cached_run_s * candidate.slowdown
}

fn run_s(ask: &Timing, candidate: &Candidate<'_>, policy: &Policy) -> f64 {
    let base = match candidate.affinity {
        Affinity::Unknown => ask.uncached_run_s,
        Affinity::Known | Affinity::Likely => ask.cached_run_s,
    };
    let factor = if candidate.is_cold {
        policy.cold_slowdown
    } else {
        1.0
    };
    base * factor * candidate.slowdown
}

fn cost_s(ask: &Timing, candidate: &Candidate<'_>, policy: &Policy) -> f64 {
    let run = run_s(ask, candidate, policy);
    let expected = candidate.round_trip_s + wait_s(ask, candidate) + run;
    let mut parts = candidate.failure_rate;
    if !candidate.in_preferred_region {
        parts += policy.cross_region_cost;
    } else if candidate.locality == Locality::SameRegion && candidate.rank > 0 {
        parts += policy.cross_zone_cost;
    }
    if ask.caller_wait_s + expected > ask.objective_s {
        parts += policy.late_cost;
    }
    let rank = f64::from(u32::try_from(candidate.rank).unwrap_or(u32::MAX));
    let spread = rank * policy.rank_cost * ask.cached_run_s;
    expected + policy.occupancy_cost * run + parts * ask.objective_s + spread
}
