//! Ranks the eligible targets of a request and estimates the load of each.

use {
    crate::{
        Affinity, Balancer, Candidate, EligibleTarget, LoadTimes, Locality, PendingRequest,
        RemoteShare, RunningTimes, TargetCounts, rendezvous_weight, selection::CLOSED, shedding,
    },
    catalog::Target,
    std::time::Duration,
};

/// Requests that a target in another region may have beyond its slots, so that no slot stays
/// idle for a round trip.
const REMOTE_EXTRA_REQUESTS: f64 = 1.0;

/// Weight of a target in this region, against which those in other regions are weighed.
const LOCAL_WEIGHT: f64 = 1.0;
/// Loss of weight of a target in another region, for a round trip that takes the whole latency
/// objective; for a shorter one it is proportionally smaller.
const REMOTE_WEIGHT_LOSS: f64 = 8.0;
/// Smallest weight of a target in another region that can respond in time.
const MIN_REMOTE_WEIGHT: f64 = 0.3;
/// Maximum number of targets that an object is sent to, so that under overload it does not end
/// up cached on all of them and evict other objects there.
const TARGETS_PER_OBJECT: usize = 2;
/// Fraction of its slots up to which a target receives objects that it has not cached. These
/// run longer and evict objects from its cache, so they are sent only where capacity is spare.
const UNCACHED_SLOT_FRACTION: f64 = 0.5;
/// Fraction of the latency objective within which another region must be able to respond for
/// requests to move there.
const REMOTE_OBJECTIVE_FRACTION: f64 = 0.6;

/// Of the requests that would wait for a load, one in this many runs beside it.
const REQUESTS_PER_TRIAL: u64 = 8;

impl Balancer {
    /// Returns the first targets in the preference order of the request's object, with their
    /// estimated load.
    ///
    /// Targets in other regions are included only if the most preferred target is in one, or if the
    /// request may go beyond the planned share of its route.
    pub(crate) fn candidates<'a>(
        &self,
        request: &PendingRequest<'_>,
        ranked: &[&EligibleTarget<'a>],
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        // The preference order sends an object to another region; the current load does not.
        let is_preferred =
            |eligible: &EligibleTarget<'_>| prefers_remote(ranked) || !is_remote(eligible);
        let mut candidates = self.ranked_candidates(request, ranked, is_preferred, now);
        if self.may_move(request, ranked) {
            let remote = self.ranked_candidates(request, ranked, is_remote, now);
            candidates.extend(remote);
        }
        candidates
    }

    /// Returns the first targets in other regions for a request that prefers this one, if some of its
    /// `candidates` rest or have used up their limit: the others cannot take all of their work.
    pub(crate) fn remote_candidates<'a>(
        &self,
        request: &PendingRequest<'_>,
        ranked: &[&EligibleTarget<'a>],
        candidates: &[Candidate<'a>],
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let are_included = prefers_remote(ranked) || self.may_move(request, ranked);
        if are_included || !candidates.iter().any(Candidate::is_held_back) {
            return Vec::new();
        }
        self.ranked_candidates(request, ranked, is_remote, now)
    }

    /// Returns whether a request that prefers this region may go to another one that is sooner, beyond
    /// the planned share.
    fn may_move(&self, request: &PendingRequest<'_>, ranked: &[&EligibleTarget<'_>]) -> bool {
        let max_speed = self.max_share_speed;
        !prefers_remote(ranked) && self.region_plans.may_move(request.route, max_speed)
    }

    /// Returns the first targets of the preference order for which `is_included` holds, until as
    /// many as an object may go to accept requests now. Targets that rest, or whose rate limit leaves
    /// no room, do not count.
    fn ranked_candidates<'a>(
        &self,
        request: &PendingRequest<'_>,
        ranked: &[&EligibleTarget<'a>],
        is_included: impl Fn(&EligibleTarget<'_>) -> bool,
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let mut candidates = Vec::with_capacity(TARGETS_PER_OBJECT);
        let mut accepting_count = 0;
        let prefers_remote = prefers_remote(ranked);
        for (rank, eligible) in ranked.iter().enumerate() {
            if accepting_count == TARGETS_PER_OBJECT {
                break;
            }
            if !is_included(eligible) {
                continue;
            }
            let in_preferred_region = prefers_remote == is_remote(eligible);
            // The next target takes the place of those before it that accept no requests now.
            let is_first = accepting_count == 0;
            let candidate =
                self.candidate(request, eligible, in_preferred_region, is_first, rank, now);
            accepting_count += usize::from(!candidate.is_held_back());
            candidates.push(candidate);
        }
        candidates
    }

    /// Returns the weight of targets in other regions. It follows the desired one, such that the
    /// share of the requests that prefer them changes at a bounded speed.
    pub(crate) fn follow_remote_weight(
        &mut self,
        request: &PendingRequest<'_>,
        targets: &[EligibleTarget<'_>],
        now: Duration,
    ) -> f64 {
        let eligible = count_targets(targets);
        if eligible.local == 0 {
            return LOCAL_WEIGHT;
        }
        if eligible.remote == 0 {
            return 0.0;
        }
        let counts = request.target_counts.unwrap_or(eligible);
        let desired = self.desired_remote_weight(request, targets);
        let planned = self.region_plans.weight(request.route, counts);
        let desired = planned.map_or(desired, |planned| desired.min(planned));
        let max_speed = self.max_share_speed;
        self.remote_share(request, desired, counts, now)
            .follow(desired, counts, max_speed, now)
    }

    /// Borrows the share of the request's route and service. That of a new service of the route
    /// begins where the route was.
    fn remote_share(
        &mut self,
        request: &PendingRequest<'_>,
        desired: f64,
        counts: TargetCounts,
        now: Duration,
    ) -> &mut RemoteShare {
        let shares = self
            .remote_shares
            .entry(request.route.to_owned())
            .or_default();
        let previous = shares.values().next().copied();
        shares
            .entry(request.service.to_owned())
            .or_insert_with(|| previous.unwrap_or_else(|| RemoteShare::new(desired, counts, now)))
    }

    /// Returns the weight of targets in other regions that suits the current estimates.
    ///
    /// It is zero if no other region can respond well within the latency objective: requests
    /// that would be late there do not relieve this region.
    fn desired_remote_weight(
        &self,
        request: &PendingRequest<'_>,
        targets: &[EligibleTarget<'_>],
    ) -> f64 {
        let remote = targets
            .iter()
            .filter(|eligible| eligible.locality == Locality::OtherRegion);
        let nearest = remote.map(|eligible| eligible.round_trip).min();
        let Some(nearest) = nearest.map(|nearest| request.remote_round_trip.unwrap_or(nearest))
        else {
            return 0.0;
        };
        let round_trip_s = nearest.as_secs_f64();
        let objective_s = request.objective.as_secs_f64();
        let run_s = self
            .running_times
            .get(request.route)
            .map_or(0.0, RunningTimes::uncongested_s);
        if round_trip_s + run_s < REMOTE_OBJECTIVE_FRACTION * objective_s {
            let weight = LOCAL_WEIGHT - REMOTE_WEIGHT_LOSS * round_trip_s / objective_s;
            weight.max(MIN_REMOTE_WEIGHT)
        } else {
            0.0
        }
    }

    fn candidate<'a>(
        &self,
        request: &PendingRequest<'_>,
        eligible: &EligibleTarget<'a>,
        in_preferred_region: bool,
        is_first: bool,
        rank: usize,
        now: Duration,
    ) -> Candidate<'a> {
        let target = eligible.target;
        let stats = self.target_stats.get(&target.id);
        let slots = f64::from(target.slots);
        let extra = if eligible.locality == Locality::OtherRegion {
            REMOTE_EXTRA_REQUESTS
        } else {
            0.0
        };
        let reserved = self.reserved_slots(request, target, now);
        // Where the share is planned, callers of each region keep an object at its first choice there.
        let is_kept_there = in_preferred_region || self.region_plans.is_planned(request.route);
        let is_first_choice = is_first && is_kept_there && !eligible.is_fallback;
        let queued = to_f64(self.queues.count_ahead(&target.id, request.queue_key));
        let affinity = self.affinity(request, &target.id, is_first_choice);
        let loaded_for = self.loaded_for(request, eligible, affinity, now);
        let affinity = if loaded_for.is_some() || self.has_begun(request, eligible, affinity) {
            Affinity::Loading
        } else {
            affinity
        };
        let load_s =
            loaded_for.and_then(|elapsed| self.load_wait_s(request, eligible, elapsed, now));
        let hold = if eligible.has_remote_queue {
            self.statements.full_for(&target.id, now)
        } else {
            self.statements.time_until_room(&target.id, queued, now)
        };
        let max_requests = if eligible.has_remote_queue {
            f64::INFINITY
        } else if load_s.is_none() && self.yields_to_cached(request, eligible, affinity, now) {
            CLOSED
        } else if affinity == Affinity::Unknown {
            slots * UNCACHED_SLOT_FRACTION
        } else {
            slots + extra
        };
        Candidate {
            id: &target.id,
            limit: max_requests - reserved,
            slots,
            hold_s: hold.as_secs_f64(),
            load_s,
            has_remote_queue: eligible.has_remote_queue,
            requests_ahead: stats.map_or(0.0, |stats| stats.in_flight(now)) + queued,
            locality: eligible.locality,
            in_preferred_region,
            round_trip_s: eligible.round_trip.as_secs_f64(),
            rank: if request.object.is_some() { rank } else { 0 },
            affinity,
            is_cold: eligible.is_cold,
            slowdown: stats.map_or(1.0, |stats| stats.slowdown(now)),
            failure_rate: stats.map_or(0.0, |stats| stats.failure_rate(now)),
        }
    }

    /// Returns the number of a target's slots that the request has to leave free: for more urgent
    /// ones, or as a late one for those that can still be in time.
    fn reserved_slots(&self, request: &PendingRequest<'_>, target: &Target, now: Duration) -> f64 {
        let key = request.queue_key;
        let for_urgent =
            self.priority_reserve
                .reserved_slots(request.service, key.priority, target.slots);
        let for_punctual = if key.is_late && self.shedding.keeps_slots(request.service, now) {
            shedding::reserved_slots(target.slots)
        } else {
            0.0
        };
        for_punctual.max(for_urgent)
    }

    /// Returns whether the request may not run at a target that has to load its object first: the
    /// run would be late, and keep requests for cached objects from slots that are short.
    fn yields_to_cached(
        &self,
        request: &PendingRequest<'_>,
        eligible: &EligibleTarget<'_>,
        affinity: Affinity,
        now: Duration,
    ) -> bool {
        if affinity == Affinity::Known || !self.shedding.is_active() {
            return false;
        }
        let Some(times) = self.running_times.get(request.route) else {
            return false;
        };
        let run_s = match affinity {
            Affinity::Loading => times.expected_s(Affinity::Loading),
            Affinity::Known | Affinity::Likely | Affinity::Unknown => {
                times.expected_s(Affinity::Unknown)
            }
        };
        let response_s = (request.caller_wait + eligible.round_trip).as_secs_f64() + run_s;
        if response_s <= request.objective.as_secs_f64() {
            return false;
        }
        let target = eligible.target;
        let stats = self.target_stats.get(&target.id);
        let first_runs = stats.map_or(0, |stats| stats.first_runs_in_flight);
        let repeat_runs = run_s / times.expected_s(Affinity::Known);
        let shortages = &self.shedding.shortages;
        first_runs >= shedding::max_first_runs(target.slots)
            && shortages.is_short(&target.id, repeat_runs, now)
    }

    /// Returns the time for which a target whose queue this VM owns has been loading the object of the
    /// request for another one, if it is.
    fn loaded_for(
        &self,
        request: &PendingRequest<'_>,
        eligible: &EligibleTarget<'_>,
        affinity: Affinity,
        now: Duration,
    ) -> Option<Duration> {
        let is_known = affinity == Affinity::Known;
        if is_known || eligible.has_remote_queue || !self.shedding.is_active() {
            return None;
        }
        let target = &eligible.target.id;
        let object = request.object?;
        self.loading.elapsed(target, request.route, object, now)
    }

    /// Returns whether a target whose queue this VM owns began to load the object in a run that was
    /// stopped.
    fn has_begun(
        &self,
        request: &PendingRequest<'_>,
        eligible: &EligibleTarget<'_>,
        affinity: Affinity,
    ) -> bool {
        let target = &eligible.target.id;
        let is_begun = |object| self.recent_objects.is_begun(target, request.route, object);
        affinity != Affinity::Known
            && !eligible.has_remote_queue
            && self.shedding.is_active()
            && request.object.is_some_and(is_begun)
    }

    /// Returns the time in seconds for which the request waits until a target, which has been loading
    /// its object for `elapsed`, has it, or `None` if it does not wait for that. Some requests do not,
    /// so that it is noticed when runs beside a load become short.
    fn load_wait_s(
        &self,
        request: &PendingRequest<'_>,
        eligible: &EligibleTarget<'_>,
        elapsed: Duration,
        now: Duration,
    ) -> Option<f64> {
        if request
            .queue_key
            .sequence
            .is_multiple_of(REQUESTS_PER_TRIAL)
        {
            return None;
        }
        let times = self.running_times.get(request.route)?;
        if times.has_object_while_loading() {
            return None;
        }
        let stats = self.target_stats.get(&eligible.target.id);
        let slowdown = stats.map_or(1.0, |stats| stats.slowdown(now));
        let waited = request.caller_wait + eligible.round_trip;
        let load_times = LoadTimes {
            first_run_s: times.expected_s(Affinity::Unknown) * slowdown,
            repeat_run_s: times.expected_s(Affinity::Known) * slowdown,
            beside_s: times.expected_s(Affinity::Loading) * slowdown,
            until_late_s: request.objective.as_secs_f64() - waited.as_secs_f64(),
            time_left_s: request.time_left.as_secs_f64(),
        };
        load_times.wait_s(elapsed)
    }

    fn affinity(
        &self,
        request: &PendingRequest<'_>,
        target: &str,
        is_first_choice: bool,
    ) -> Affinity {
        match request.object {
            None => Affinity::Known,
            Some(object) if self.recent_objects.contains(target, request.route, object) => {
                Affinity::Known
            }
            Some(_) if is_first_choice => Affinity::Likely,
            Some(_) => Affinity::Unknown,
        }
    }
}

/// Returns the targets in the preference order of the request's object. `remote_weight` is the weight
/// of each in another region.
pub(crate) fn rank<'t, 'a>(
    request: &PendingRequest<'_>,
    targets: &'t [EligibleTarget<'a>],
    remote_weight: f64,
) -> Vec<&'t EligibleTarget<'a>> {
    let key = request.key();
    let mut ranked: Vec<(f64, &EligibleTarget<'a>)> = Vec::with_capacity(targets.len());
    for eligible in targets {
        ranked.push((preference(key, eligible, remote_weight), eligible));
    }
    ranked.sort_by(|a, b| b.0.total_cmp(&a.0));
    ranked.into_iter().map(|(_, eligible)| eligible).collect()
}

fn prefers_remote(ranked: &[&EligibleTarget<'_>]) -> bool {
    ranked.first().is_some_and(|first| is_remote(first))
}

fn is_remote(eligible: &EligibleTarget<'_>) -> bool {
    eligible.locality == Locality::OtherRegion
}

fn count_targets(targets: &[EligibleTarget<'_>]) -> TargetCounts {
    let remote = targets
        .iter()
        .filter(|eligible| is_remote(eligible))
        .count();
    TargetCounts {
        local: targets.len() - remote,
        remote,
    }
}

/// Returns the preference of a key for a target, by weighted rendezvous hashing. Of any number of
/// targets, each is the most preferred one for a share of the keys proportional to its weight.
fn preference(key: &str, eligible: &EligibleTarget<'_>, remote_weight: f64) -> f64 {
    let weight = if eligible.locality == Locality::OtherRegion {
        remote_weight
    } else {
        LOCAL_WEIGHT
    };
    if weight <= 0.0 {
        return f64::NEG_INFINITY;
    }
    #[allow(clippy::cast_precision_loss, reason = "only the high bits matter")]
    let normalized = rendezvous_weight(key, &eligible.target.id) as f64 / u64::MAX as f64;
    normalized.max(f64::MIN_POSITIVE).ln() / weight
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
