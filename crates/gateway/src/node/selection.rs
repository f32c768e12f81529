//! Choosing a target for a request, inside the limits that all VMs share.

use {
    super::{Node, QueueOwner, RequestContext, Reservation, Selection},
    balance::{Decision, EligibleTarget, Locality, QueueKey, select_warmup_senders},
    catalog::{Catalog, Target},
    route::Route,
    std::{rc::Rc, time::Duration},
};

/// Time there and back within a zone, to another zone of the region, and to another region.
const ROUND_TRIPS: [Duration; 3] = [
    Duration::from_millis(1),
    Duration::from_millis(2),
    Duration::from_millis(40),
];

impl Node {
    /// Decides where a request goes now; a request that goes is counted at its target.
    pub(crate) fn select_target(self: &Rc<Self>, work: &RequestContext) -> Selection {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let places = self.places(work, &catalog, now);
        let wish = work.wish(now);
        let decision = self
            .balancer
            .borrow_mut()
            .choose_target(&wish, &places, now);
        let sent = match decision {
            Decision::Send(sent) => sent,
            Decision::Wait { target } => return Selection::Wait { target },
            Decision::Refuse { retry_after: after } => {
                return Selection::Refuse { retry_after: after };
            }
        };
        let Some(place) = places.iter().find(|place| place.target.id == sent.target) else {
            return Selection::Refuse {
                retry_after: work.route.objective,
            };
        };
        let target = place.target;
        let bound = place.is_cold.then(|| self.cold_bound(target)).flatten();
        self.balancer
            .borrow_mut()
            .record_dispatch(&sent, bound, now);
        let keeper = self.keeper_for(work, target, place.is_cold, now);
        let choice = Reservation::new(self, sent, target.address, keeper);
        Selection::Send(Box::new(choice))
    }

    /// Targets that may run a request now.
    fn places<'a>(
        &self,
        work: &'a RequestContext,
        catalog: &'a Catalog,
        now: Duration,
    ) -> Vec<EligibleTarget<'a>> {
        let mut places = Vec::new();
        for target in catalog.usable_targets(&work.service) {
            let cold = catalog.is_cold(&target.id, now);
            let keeper = self.keeper_for(work, target, cold, now);
            let Some((distance, round_trip)) = self.place(work, target, keeper.as_ref()) else {
                continue;
            };
            let out = self.balancer.borrow().is_ejected(&target.id, now);
            if !out && (!cold || self.ramp_fits(target, now)) {
                places.push(EligibleTarget {
                    target,
                    locality: distance,
                    round_trip,
                    is_cold: cold,
                    has_remote_queue: keeper.is_some(),
                    is_fallback: work
                        .assignment
                        .as_ref()
                        .is_some_and(|only| !only.is_first_choice),
                });
            }
        }
        places
    }

    /// The VM through which a request goes to a target. Cold targets get theirs from their
    /// sponsors directly.
    fn keeper_for(
        &self,
        work: &RequestContext,
        target: &Target,
        cold: bool,
        now: Duration,
    ) -> Option<QueueOwner> {
        if work.assignment.is_some() || cold {
            return None;
        }
        self.keeper(target, now)
    }

    fn ramp_fits(&self, target: &Target, now: Duration) -> bool {
        let bound = self.cold_bound(target);
        let mut board = self.balancer.borrow_mut();
        bound.is_some_and(|bound| board.slow_start.has_capacity(&target.id, bound, now))
    }

    /// Leaves half of a target's connections to requests under way.
    pub(crate) fn limit_idle_connections(&self) {
        let table = self.route_table();
        let least = table
            .services()
            .map(|service| service.max_connections)
            .min();
        let least = usize::try_from(least.unwrap_or(u32::MAX)).unwrap_or(usize::MAX);
        let vms = self.member_view().serving().len().max(1);
        self.client.set_max_idle(least / 2 / vms);
    }

    /// How far a target is, unless the request may not go there.
    fn place(
        &self,
        work: &RequestContext,
        target: &Target,
        keeper: Option<&QueueOwner>,
    ) -> Option<(Locality, Duration)> {
        let region = self.settings.region_of(&target.zone);
        let homes = &work.route.allowed_regions;
        let at_home = homes.is_empty() || homes.iter().any(|home| home == region);
        let other = work
            .assignment
            .as_ref()
            .is_some_and(|only| only.target != target.id);
        if other || !at_home || work.tried_targets.contains(&target.id) {
            return None;
        }
        let (distance, round_trip) = self.distance(target, keeper);
        // A connection of its own to the target costs one more.
        let alone = keeper.is_none() && !work.is_idempotent();
        let trips = if alone { 2 } else { 1 };
        Some((distance, round_trip * trips))
    }

    /// How far a target is, and the time there and back by the connections made to it.
    fn distance(&self, target: &Target, keeper: Option<&QueueOwner>) -> (Locality, Duration) {
        let (distance, assumed) = if target.zone == self.settings.zone {
            (Locality::SameZone, ROUND_TRIPS[0])
        } else if self.settings.region_of(&target.zone) == self.settings.region {
            (Locality::SameRegion, ROUND_TRIPS[1])
        } else {
            (Locality::OtherRegion, ROUND_TRIPS[2])
        };
        let address = keeper.map_or(target.address, |keeper| keeper.address);
        let measured = self.client.round_trip(address);
        (distance, measured.unwrap_or(assumed))
    }

    /// Requests a second that a cold target bears from all VMs, if this VM may send it any.
    fn cold_bound(&self, target: &Target) -> Option<f64> {
        let table = self.route_table();
        let service = table.service(&target.service)?;
        let bounds = self.bounds();
        let bound = service.warmup_requests_per_s * bounds.warmup_factor + bounds.warmup_slack;
        let view = self.member_view();
        let all = view.members();
        let present = all.iter().filter(|m| m.status != wire::Status::Gone);
        let vms = present.map(|m| (m.name.as_str(), m.zone.as_str()));
        let chosen = select_warmup_senders(&target.id, &target.zone, vms);
        chosen
            .contains(&self.settings.name.as_str())
            .then_some(bound)
    }

    /// The next place among the requests that wait.
    pub(crate) fn next_queue_key(&self, route: &Route, late: bool) -> QueueKey {
        let number = self.next_sequence.get();
        self.next_sequence.set(number + 1);
        QueueKey {
            priority: route.priority,
            is_late: late,
            sequence: number,
        }
    }

    /// Notes a request that a caller sent.
    pub(crate) fn record_arrival(&self, work: &RequestContext) {
        self.balancer
            .borrow_mut()
            .record_arrival(&work.wish(self.now()));
    }

    /// Service for the next request of a route, by the weights of its parts.
    pub(crate) fn select_service(&self, route: &Route) -> String {
        if let [only] = route.services.as_slice() {
            return only.service.clone();
        }
        let mut splits = self.service_rotations.borrow_mut();
        let split = splits.entry(route.name.clone()).or_default();
        let index = split.pick_next(&route.services);
        route.services[index].service.clone()
    }

    /// Notes a first send.
    pub(crate) fn record_first_attempt(&self, service: &str) {
        let now = self.now();
        let mut retries = self.retry_budgets.borrow_mut();
        let retries = retries.entry(service.to_owned()).or_default();
        retries.record_first_attempt(now, &self.bounds().retry);
    }

    /// Takes a retry out of this VM's part of the shared budget.
    pub(crate) fn withdraw_retry(&self, service: &str) -> bool {
        let now = self.now();
        let vms = self.member_view().members().len();
        let mut retries = self.retry_budgets.borrow_mut();
        let retries = retries.entry(service.to_owned()).or_default();
        retries.try_withdraw(now, &self.bounds().retry, vms)
    }

    /// Whether most of a service's targets still take work, so that one more may be ejected.
    pub(crate) fn may_eject(&self, service: &str) -> bool {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let board = self.balancer.borrow();
        let all: Vec<bool> = catalog
            .usable_targets(service)
            .map(|target| board.is_ejected(&target.id, now))
            .collect();
        let ejected = all.iter().filter(|ejected| **ejected).count();
        (ejected + 1) * 2 <= all.len()
    }
}
