//! Which target runs a request, whether it waits for it, or that none should.

use {crate::Belief, std::time::Duration};

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
    /// What the region that is not an object's own costs.
    pub leave_region: f64,
    /// What missing the objective costs, as a part of the objective.
    pub late: f64,
    /// How much more a running time counts than a wait: it takes a slot from others.
    pub occupancy: f64,
    /// Wait that is let in even if the objective is missed, as a part of the objective.
    pub patience: f64,
    /// Least time to come back that is stated, as a part of the objective.
    pub come_back: f64,
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
            leave_region: 0.3,
            late: 1.0,
            occupancy: 0.5,
            patience: 0.3,
            come_back: 0.25,
            spread: 0.1,
            cold_factor: 2.0,
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
    pub ahead: f64,
    /// How far it is.
    pub distance: Distance,
    /// Whether the object belongs where the target is.
    pub at_home: bool,
    /// Time there and back, in seconds.
    pub round_trip_s: f64,
    /// Place in the object's order among the targets at the same distance.
    pub rank: usize,
    /// Whether it knows the object.
    pub belief: Belief,
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
    /// Time since the caller asked first, in seconds.
    pub waited_s: f64,
    /// Time since the request arrived here, in seconds.
    pub waited_here_s: f64,
    /// The route's latency objective, in seconds.
    pub objective_s: f64,
    /// Time left until the request ends without an answer, in seconds.
    pub deadline_left_s: f64,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// It goes to this candidate now.
    Send(usize),
    /// It waits for this candidate.
    Wait(usize),
    /// No target could answer in time.
    Refuse {
        /// When a target is expected to have room.
        after: Duration,
    },
}

/// Takes the target with the lowest cost, or waits for it, or refuses.
///
/// The cost is the expected time to the answer, raised by what distance, lateness,
/// occupancy and trouble cost. An object stays where it is known until the wait there
/// outweighs the longer running time elsewhere; so a crowd does not scatter objects over
/// targets that do not know them, which would lengthen every request and feed the crowd.
#[must_use]
pub fn choose(ask: &Ask, candidates: &[Candidate<'_>], policy: &Policy) -> Verdict {
    let mut order: Vec<(f64, usize)> = Vec::with_capacity(candidates.len());
    for (index, candidate) in candidates.iter().enumerate() {
        order.push((cost_s(ask, candidate, policy), index));
    }
    order.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut soonest = ask.objective_s;
    for (_, index) in order {
        let candidate = &candidates[index];
        if candidate.ahead < candidate.limit {
            return Verdict::Send(index);
        }
        let wait = wait_s(ask, candidate);
        if wait <= bearable_s(ask, candidate, policy) {
            return Verdict::Wait(index);
        }
        soonest = soonest.min(wait);
    }
    let after = soonest.clamp(policy.come_back * ask.objective_s, MAX_RETRY_S);
    Verdict::Refuse {
        after: Duration::from_secs_f64(after),
    }
}

/// Longest wait for a target after which the answer is still worth having.
fn bearable_s(ask: &Ask, candidate: &Candidate<'_>, policy: &Policy) -> f64 {
    let run = run_s(ask, candidate, policy) + candidate.round_trip_s;
    let in_time = ask.objective_s - ask.waited_s - run;
    let least = policy.patience * ask.objective_s - ask.waited_here_s;
    in_time.max(least).min(ask.deadline_left_s - run)
}

/// Expected time until the target begins with the request.
fn wait_s(ask: &Ask, candidate: &Candidate<'_>) -> f64 {
    let before = (candidate.ahead - candidate.slots + 1.0).max(0.0);
    before / candidate.slots.max(1.0) * ask.warm_s * candidate.slowness
}

fn run_s(ask: &Ask, candidate: &Candidate<'_>, policy: &Policy) -> f64 {
    let base = match candidate.belief {
        Belief::Unknown => ask.cold_s,
        Belief::Known | Belief::Likely => ask.warm_s,
    };
    let factor = if candidate.cold {
        policy.cold_factor
    } else {
        1.0
    };
    base * factor * candidate.slowness
}

fn cost_s(ask: &Ask, candidate: &Candidate<'_>, policy: &Policy) -> f64 {
    let run = run_s(ask, candidate, policy);
    let expected = candidate.round_trip_s + wait_s(ask, candidate) + run;
    let mut parts = candidate.trouble;
    if !candidate.at_home {
        parts += policy.leave_region;
    } else if candidate.distance == Distance::Region && candidate.rank > 0 {
        parts += policy.leave_zone;
    }
    if ask.waited_s + expected > ask.objective_s {
        parts += policy.late;
    }
    let rank = f64::from(u32::try_from(candidate.rank).unwrap_or(u32::MAX));
    let spread = rank * policy.spread * ask.warm_s;
    expected + policy.occupancy * run + parts * ask.objective_s + spread
}
