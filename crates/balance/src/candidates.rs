//! The targets that a request may go to, as the decision sees them.

use {
    crate::{
        Affinity, Balancer, Candidate, EligibleTarget, Locality, PendingRequest, RunningTimes,
        TargetStats, rendezvous_weight,
    },
    std::time::Duration,
};

/// Requests that a target in another region may have beyond its slots, so that a slot
/// does not stay empty for the time there and back.
const FAR_EXTRA: f64 = 1.0;

/// How much less an object prefers a target of another region, of a weight between 0 and 1,
/// for each part of its objective that the way there and back takes.
const FAR_HANDICAP: f64 = 1.0;
/// Targets that an object may go to.
const HOMES: usize = 2;
/// A handicap that no weight makes up for.
const NEVER: f64 = 2.0;
/// Part of its slots up to which a target takes objects that it does not know: these run
/// long and drive out what it knows, so they go only where there is room to spare.
const STRANGER_PART: f64 = 0.5;
/// Part of the objective in which another region has to answer, for work to move there.
const FAR_PART: f64 = 0.6;

impl Balancer {
    /// The first targets of the object's order, of its region or of others.
    pub(crate) fn candidates<'a>(
        &self,
        wish: &PendingRequest<'_>,
        places: &[EligibleTarget<'a>],
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let key = wish.object.unwrap_or(wish.id);
        let has_near = places
            .iter()
            .any(|place| place.locality != Locality::OtherRegion);
        let handicap = if has_near {
            self.handicap(wish, places)
        } else {
            0.0
        };
        let mut order: Vec<(f64, &EligibleTarget<'a>)> = Vec::with_capacity(places.len());
        for place in places {
            order.push((preference(key, place, handicap), place));
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        let leaves = order
            .first()
            .is_some_and(|(_, first)| first.locality == Locality::OtherRegion);
        let mut out = Vec::with_capacity(places.len());
        for (rank, (_, place)) in order.into_iter().enumerate() {
            let is_far = place.locality == Locality::OtherRegion;
            // An object leaves its region by its order, not by the need of the moment.
            if (leaves || !is_far) && out.len() < HOMES {
                out.push(self.candidate(wish, place, leaves == is_far, rank, now));
            }
        }
        out
    }

    /// What another region costs an object. Work that would only be late there stays: it is
    /// no relief for this one.
    fn handicap(&self, wish: &PendingRequest<'_>, places: &[EligibleTarget<'_>]) -> f64 {
        let far = places
            .iter()
            .filter(|place| place.locality == Locality::OtherRegion);
        let Some(nearest) = far.map(|place| place.round_trip).min() else {
            return NEVER;
        };
        let way = nearest.as_secs_f64();
        let objective = wish.objective.as_secs_f64();
        let warm_s = self
            .running_times
            .get(wish.route)
            .map_or(0.0, RunningTimes::uncongested_s);
        if way + warm_s < FAR_PART * objective {
            FAR_HANDICAP * way / objective
        } else {
            NEVER
        }
    }

    fn candidate<'a>(
        &self,
        wish: &PendingRequest<'_>,
        place: &EligibleTarget<'a>,
        at_home: bool,
        rank: usize,
        now: Duration,
    ) -> Candidate<'a> {
        let target = place.target;
        let gauge = self.target_stats.get(&target.id);
        let slots = f64::from(target.slots);
        let far = if place.locality == Locality::OtherRegion {
            FAR_EXTRA
        } else {
            0.0
        };
        let reserved = self.priority_reserve.reserved_slots(
            wish.service,
            wish.queue_key.priority,
            target.slots,
        );
        let first = rank == 0 && at_home && !place.is_fallback;
        let queued = to_f64(self.queues.count_ahead(&target.id, wish.queue_key));
        let belief = self.belief(wish, &target.id, first);
        let most = if place.has_remote_queue {
            f64::INFINITY
        } else if belief == Affinity::Unknown {
            slots * STRANGER_PART
        } else {
            slots + far
        };
        Candidate {
            id: &target.id,
            limit: most - reserved,
            slots,
            requests_ahead: gauge.map_or(0.0, |gauge| gauge.in_flight(now)) + queued,
            locality: place.locality,
            in_preferred_region: at_home,
            round_trip_s: place.round_trip.as_secs_f64(),
            rank: if wish.object.is_some() { rank } else { 0 },
            affinity: belief,
            is_cold: place.is_cold,
            slowdown: gauge.map_or(1.0, TargetStats::slowdown),
            failure_rate: gauge.map_or(0.0, |gauge| gauge.failure_rate(now)),
        }
    }

    fn belief(&self, wish: &PendingRequest<'_>, target: &str, first: bool) -> Affinity {
        match wish.object {
            None => Affinity::Known,
            Some(object) if self.recent_objects.contains(target, wish.route, object) => {
                Affinity::Known
            }
            Some(_) if first => Affinity::Likely,
            Some(_) => Affinity::Unknown,
        }
    }
}

/// How much an object prefers a target: by rendezvous weight, less what another region costs.
fn preference(key: &str, place: &EligibleTarget<'_>, handicap: f64) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "only the high bits matter")]
    let drawn = rendezvous_weight(key, &place.target.id) as f64 / u64::MAX as f64;
    if place.locality == Locality::OtherRegion {
        drawn - handicap
    } else {
        drawn
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
