//! Selects the candidate with the lowest expected cost, or refuses the request.

use {crate::Affinity, std::time::Duration};

/// Network locality of a target relative to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Locality {
    /// Same availability zone.
    SameZone,
    /// Same region, other availability zone.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl Locality {
    /// Returns the text for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::SameZone => "zone",
            Self::SameRegion => "region",
            Self::OtherRegion => "other region",
        }
    }
}

/// Weights of the cost function. Fractions of the objective refer to the latency objective of
/// the route.
#[derive(Debug, Clone, Copy)]
pub struct SelectionPolicy {
    /// Cost of a target in another zone of this region that is not the object's first choice,
    /// as a fraction of the objective.
    pub cross_zone_cost: f64,
    /// Cost of a target outside the object's preferred region, as a fraction of the objective.
    pub cross_region_cost: f64,
    /// Cost of missing the objective, as a fraction of the objective.
    pub late_cost: f64,
    /// Extra weight of running time over waiting time, because a running request occupies a
    /// slot that others could use.
    pub occupancy_cost: f64,
    /// Wait in a queue of this VM that is accepted even if the objective is missed, as a
    /// fraction of the objective.
    pub min_accepted_wait: f64,
    /// Shortest delay until a retry that a refusal states, as a fraction of the objective.
    pub min_retry_after: f64,
    /// Cost of each rank in the object's preference order, as a fraction of the running time.
    pub rank_cost: f64,
    /// Factor by which the running time at a cold target is assumed to be longer.
    pub cold_slowdown: f64,
}

impl Default for SelectionPolicy {
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

/// Longest delay until a retry that a refusal states, in seconds.
const MAX_RETRY_AFTER_S: f64 = 60.0;

/// A target that may run the request, with its estimated load.
#[derive(Debug, Clone)]
pub struct Candidate<'a> {
    /// Identifier of the target.
    pub id: &'a str,
    /// The request is sent only while [`Candidate::requests_ahead`] is below this number. It is
    /// negative infinity where the request may not wait either.
    pub limit: f64,
    /// Requests that the target runs concurrently.
    pub slots: f64,
    /// Time until the target's rate limit leaves room for the request and the target does not rest,
    /// in seconds; zero without either.
    pub hold_s: f64,
    /// Time until the target has loaded the request's object, in seconds, if the request waits for a
    /// run that loads it.
    pub load_s: Option<f64>,
    /// Whether the target's queue is at another VM, so that the request cannot wait for it here.
    pub has_remote_queue: bool,
    /// Requests in flight at the target, plus those that precede this one in its queue.
    pub requests_ahead: f64,
    /// Network locality of the target.
    pub locality: Locality,
    /// Whether the target is on the same side, local or remote, as the object's first choice.
    pub in_preferred_region: bool,
    /// Network round trip to the target, in seconds.
    pub round_trip_s: f64,
    /// Rank in the object's preference order; 0 is the most preferred target, and the rank of
    /// every target if the request has no object.
    pub rank: usize,
    /// Whether the target is expected to have the object cached.
    pub affinity: Affinity,
    /// Whether the target is still warming up.
    pub is_cold: bool,
    /// Running time at the target relative to the expected one of the route; at least 1.
    pub slowdown: f64,
    /// Fraction of recent requests that the target rejected or failed.
    pub failure_rate: f64,
}

/// Limit of a target at which a request may neither run nor wait, as the target would have to load
/// its object while slots are short.
pub(crate) const CLOSED: f64 = f64::NEG_INFINITY;

impl Candidate<'_> {
    /// Returns whether the target is closed to the request.
    pub(crate) fn is_closed(&self) -> bool {
        self.limit.is_infinite() && self.limit.is_sign_negative()
    }

    /// Returns whether the target rests, or its rate limit leaves no room for the request now.
    pub(crate) fn is_held_back(&self) -> bool {
        self.hold_s > 0.0
    }
}

/// Expected and remaining times of a request, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Expected running time at a target that has the object cached.
    pub cached_run_s: f64,
    /// Expected running time at a target that is loading the object for another request.
    pub loading_run_s: f64,
    /// Expected running time at any other target.
    pub uncached_run_s: f64,
    /// Time since the caller's first attempt.
    pub caller_wait_s: f64,
    /// Time since the request arrived at this VM.
    pub local_wait_s: f64,
    /// Latency objective of the route.
    pub objective_s: f64,
    /// Time until the request's deadline.
    pub time_left_s: f64,
}

/// The decision for a request, with the index of the selected candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Selection {
    /// Send the request to this candidate now.
    Send(usize),
    /// Queue the request for this candidate.
    Wait(usize),
    /// Refuse the request because no candidate could respond in time.
    Refuse {
        /// Delay after which a candidate is expected to have capacity.
        retry_after: Duration,
    },
}

/// Selects the candidate with the lowest cost that has capacity or a short enough queue.
///
/// The cost is the expected response time plus penalties for locality, lateness, occupancy and
/// failures. An object stays at the target that has it cached until the wait there exceeds the
/// extra running time elsewhere. Under load this keeps objects from spreading to targets that
/// have not cached them, which would lengthen all requests and increase the load further.
#[must_use]
pub fn select_candidate(
    timing: &Timing,
    candidates: &[Candidate<'_>],
    policy: &SelectionPolicy,
) -> Selection {
    let mut by_cost: Vec<(f64, usize)> = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        by_cost.push((cost_s(timing, candidate, policy), index));
    }
    by_cost.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut shortest_wait_s: Option<f64> = None;
    for (_, index) in by_cost {
        let candidate = &candidates[index];
        if candidate.load_s.is_some() {
            return Selection::Wait(index);
        }
        if candidate.requests_ahead < candidate.limit && !candidate.is_held_back() {
            return Selection::Send(index);
        }
        let expected_wait_s = wait_s(timing, candidate);
        let may_wait = !candidate.has_remote_queue && !candidate.is_closed();
        if may_wait && expected_wait_s <= max_wait_s(timing, candidate, policy) {
            return Selection::Wait(index);
        }
        let slot_wait_s = slot_wait_s(timing, candidate).min(timing.objective_s);
        let retry_s = slot_wait_s.max(candidate.hold_s);
        shortest_wait_s = Some(shortest_wait_s.map_or(retry_s, |shortest| shortest.min(retry_s)));
    }
    // Not `clamp`, which panics if an objective is so long that the bounds cross.
    let retry_after_s = shortest_wait_s
        .unwrap_or(timing.objective_s)
        .max(policy.min_retry_after * timing.objective_s)
        .min(MAX_RETRY_AFTER_S);
    Selection::Refuse {
        retry_after: Duration::from_secs_f64(retry_after_s),
    }
}

/// Returns the longest wait for the candidate that is accepted, in seconds: until the objective
/// would be missed, or the policy's minimum if that is longer, but never past the deadline.
fn max_wait_s(timing: &Timing, candidate: &Candidate<'_>, policy: &SelectionPolicy) -> f64 {
    let response_s = run_s(timing, candidate, policy) + candidate.round_trip_s;
    let until_late_s = timing.objective_s - timing.caller_wait_s - response_s;
    let accepted_s = policy.min_accepted_wait * timing.objective_s - timing.local_wait_s;
    until_late_s
        .max(accepted_s)
        .min(timing.time_left_s - response_s)
}

/// Returns the expected time until the candidate starts the request, in seconds.
fn wait_s(timing: &Timing, candidate: &Candidate<'_>) -> f64 {
    let load_s = candidate.load_s.unwrap_or(0.0);
    slot_wait_s(timing, candidate)
        .max(candidate.hold_s)
        .max(load_s)
}

/// Returns the expected time until the candidate has a slot for the request, in seconds.
fn slot_wait_s(timing: &Timing, candidate: &Candidate<'_>) -> f64 {
    let completions_needed = (candidate.requests_ahead - candidate.slots + 1.0).max(0.0);
    completions_needed / candidate.slots.max(1.0) * timing.cached_run_s * candidate.slowdown
}

/// Returns the expected running time at the candidate, in seconds.
fn run_s(timing: &Timing, candidate: &Candidate<'_>, policy: &SelectionPolicy) -> f64 {
    let base_s = match candidate.affinity {
        Affinity::Unknown => timing.uncached_run_s,
        // One that waits for the object runs once the target has it.
        Affinity::Loading if candidate.load_s.is_none() => timing.loading_run_s,
        Affinity::Known | Affinity::Likely | Affinity::Loading => timing.cached_run_s,
    };
    let cold_factor = if candidate.is_cold {
        policy.cold_slowdown
    } else {
        1.0
    };
    base_s * cold_factor * candidate.slowdown
}

/// Returns the cost of sending the request to the candidate, in seconds.
fn cost_s(timing: &Timing, candidate: &Candidate<'_>, policy: &SelectionPolicy) -> f64 {
    let run_s = run_s(timing, candidate, policy);
    let response_s = candidate.round_trip_s + wait_s(timing, candidate) + run_s;
    let mut objective_fractions = candidate.failure_rate;
    if !candidate.in_preferred_region {
        objective_fractions += policy.cross_region_cost;
    } else if candidate.locality == Locality::SameRegion && candidate.rank > 0 {
        objective_fractions += policy.cross_zone_cost;
    }
    if timing.caller_wait_s + response_s > timing.objective_s {
        objective_fractions += policy.late_cost;
    }
    let rank = f64::from(u32::try_from(candidate.rank).unwrap_or(u32::MAX));
    let rank_cost_s = rank * policy.rank_cost * timing.cached_run_s;
    response_s
        + policy.occupancy_cost * run_s
        + objective_fractions * timing.objective_s
        + rank_cost_s
}
