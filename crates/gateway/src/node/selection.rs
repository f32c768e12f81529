//! Selects targets for requests and enforces the limits that all VMs share.

use {
    super::{Node, Path, QueueOwner, RequestContext, Reservation, Selection},
    balance::{
        Decision, Dispatch, EligibleTarget, Locality, PRESELECTION_SIZES, PendingRequest, QueueKey,
        select_warmup_senders,
    },
    catalog::{Catalog, Target},
    customer::Customer,
    route::Route,
    std::{rc::Rc, time::Duration},
};

/// Round-trip times assumed until one is measured: within a zone, to another zone of the
/// region, and to another region.
const ASSUMED_ROUND_TRIPS: [Duration; 3] = [
    Duration::from_millis(1),
    Duration::from_millis(2),
    Duration::from_millis(40),
];

impl Node {
    /// Decides whether a request is sent to a target now, waits for one or is refused. If it is
    /// sent, it counts as in flight at the target until the reservation is dropped.
    pub(crate) fn select_target(self: &Rc<Self>, request: &RequestContext) -> Selection {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let (pending, eligible) = self.eligible_for(request, &catalog, now);
        let decision = self.decide(&pending, &eligible, now);
        if self.is_refused_for_end(request, &pending, &eligible, &decision, now) {
            return Selection::Leaving;
        }
        let dispatch = match decision {
            Decision::Send(dispatch) => dispatch,
            Decision::Wait { target } => return self.wait(request, target, now),
            Decision::Refuse { retry_after } => return Selection::Refuse { retry_after },
        };
        let chosen = eligible.iter().find(|e| e.target.id == dispatch.target);
        let Some(chosen) = chosen else {
            return Selection::Refuse {
                retry_after: request.route.objective,
            };
        };
        Selection::Send(Box::new(self.reserve(request, chosen, dispatch, now)))
    }

    fn wait(&self, request: &RequestContext, target: String, now: Duration) -> Selection {
        let pending = request.pending_request(now);
        let balancer = self.balancer.borrow();
        Selection::Wait {
            is_queued: !balancer.awaits_load(&pending, &target, now),
            target,
        }
    }

    /// Returns the targets that may run a request now, and what is decided for it among them.
    pub(super) fn choose_target<'a>(
        &self,
        request: &'a RequestContext,
        catalog: &'a Catalog,
        now: Duration,
    ) -> (Vec<EligibleTarget<'a>>, Decision) {
        let (pending, eligible) = self.eligible_for(request, catalog, now);
        let decision = self.decide(&pending, &eligible, now);
        (eligible, decision)
    }

    /// Returns what is decided on, and the targets among which the choice is.
    pub(super) fn eligible_for<'a>(
        &self,
        request: &'a RequestContext,
        catalog: &'a Catalog,
        now: Duration,
    ) -> (PendingRequest<'a>, Vec<EligibleTarget<'a>>) {
        let mut pending = request.pending_request(now);
        pending.time_left = self.time_left(request, now);
        let summary = self.region_summary(request, catalog, now);
        pending.remote_round_trip = summary.remote_round_trip;
        pending.target_counts = Some(summary.counts);
        let eligible = self.eligible_targets(request, &pending, catalog, now);
        (pending, eligible)
    }

    /// Counts a request as in flight at the target that was chosen for it.
    pub(super) fn reserve(
        self: &Rc<Self>,
        request: &RequestContext,
        chosen: &EligibleTarget<'_>,
        dispatch: Dispatch,
        now: Duration,
    ) -> Reservation {
        let target = chosen.target;
        let rate_limit = chosen
            .is_cold
            .then(|| self.warmup_rate_limit(target))
            .flatten();
        self.balancer
            .borrow_mut()
            .record_dispatch(&dispatch, rate_limit, now);
        let queue_owner = match self.path_to(request, target, chosen.is_cold, now) {
            Path::Through(owner) => Some(owner),
            Path::Direct | Path::Closed => {
                let mut balancer = self.balancer.borrow_mut();
                balancer.statements.record_send(&target.id, now);
                None
            }
        };
        request.record_share_sent();
        Reservation::new(self, dispatch, target.address, queue_owner)
    }

    /// Returns the targets among which a request's target is chosen: the assigned one, or the most
    /// preferred of its service that may run it now. If too few of those may, it returns all.
    fn eligible_targets<'a>(
        &self,
        request: &'a RequestContext,
        pending: &PendingRequest<'_>,
        catalog: &'a Catalog,
        now: Duration,
    ) -> Vec<EligibleTarget<'a>> {
        let eligible = |target| self.eligible_target(request, target, catalog, now);
        if let Some(assignment) = &request.assignment {
            let usable = catalog.is_usable(&assignment.target);
            let target = catalog.get(&assignment.target).filter(|_| usable);
            return target.and_then(eligible).into_iter().collect();
        }
        let mut selected = Vec::new();
        for max_targets in PRESELECTION_SIZES {
            let targets = catalog.usable_targets(&request.service);
            let with_side = targets.map(|target| (target, self.is_remote(target)));
            let preselection = balance::preselect_targets(pending.key(), with_side, max_targets);
            selected = preselection.local.targets().filter_map(eligible).collect();
            let local_count = self.count_unrestricted(&selected, now);
            selected.extend(preselection.remote.targets().filter_map(eligible));
            let remote_count = self.count_unrestricted(&selected, now) - local_count;
            if preselection.local.suffices(local_count)
                && preselection.remote.suffices(remote_count)
            {
                break;
            }
        }
        selected
    }

    fn count_unrestricted(&self, targets: &[EligibleTarget<'_>], now: Duration) -> usize {
        let statements = &self.balancer.borrow().statements;
        let ids = targets.iter().map(|eligible| &eligible.target.id);
        ids.filter(|id| !statements.is_restricted(id, now)).count()
    }

    /// Returns whether a target is in another region.
    pub(super) fn is_remote(&self, target: &Target) -> bool {
        target.zone != self.settings.zone
            && self.settings.region_of(&target.zone) != self.settings.region
    }

    /// Returns a target if it may run a request now. One that is ejected, cold while this VM may not
    /// send it one more request, or limited while the VM that sends to it cannot be reached, may
    /// not.
    pub(super) fn eligible_target<'a>(
        &self,
        request: &RequestContext,
        target: &'a Target,
        catalog: &Catalog,
        now: Duration,
    ) -> Option<EligibleTarget<'a>> {
        let is_cold = catalog.is_cold(&target.id, now);
        let queue_owner = match self.path_to(request, target, is_cold, now) {
            Path::Direct => None,
            Path::Through(owner) => Some(owner),
            Path::Closed => return None,
        };
        let (locality, round_trip) = self.locate_target(request, target, queue_owner.as_ref())?;
        let is_ejected = self.balancer.borrow().is_ejected(&target.id, now);
        if is_ejected || (is_cold && !self.has_warmup_capacity(target, now)) {
            return None;
        }
        Some(EligibleTarget {
            target,
            locality,
            round_trip,
            is_cold,
            has_remote_queue: queue_owner.is_some(),
            is_fallback: request
                .assignment
                .as_ref()
                .is_some_and(|assignment| !assignment.is_first_choice),
        })
    }

    /// Returns how a request reaches a target. One that another VM relayed is already at the queue
    /// owner. Requests to a target with a rate limit all go through one VM; a cold target without
    /// one gets requests only directly from the VMs selected for its warm-up.
    pub(super) fn path_to(
        &self,
        request: &RequestContext,
        target: &Target,
        is_cold: bool,
        now: Duration,
    ) -> Path {
        if request.assignment.is_some() {
            return Path::Direct;
        }
        let path = if self.is_rate_limited(&target.id) {
            self.limited_path(request, target, now)
        } else if is_cold {
            Path::Direct
        } else {
            let owner = self.remote_queue_owner(target, now);
            owner.map_or(Path::Direct, Path::Through)
        };
        if path == Path::Direct && self.is_cut_off() {
            return self.path_while_cut_off(request, target, is_cold, now);
        }
        path
    }

    /// Returns how requests reach a target to which this VM would send them itself, but cannot. The
    /// rate of a limited or cold target is kept by this VM, so that no other one may take its place.
    fn path_while_cut_off(
        &self,
        request: &RequestContext,
        target: &Target,
        is_cold: bool,
        now: Duration,
    ) -> Path {
        if is_cold || self.is_rate_limited(&target.id) {
            return Path::Closed;
        }
        let sender = self.substitute_sender(request, target, now);
        sender.map_or(Path::Closed, Path::Through)
    }

    /// Returns whether the rate limit of a cold target allows one more request from this VM.
    fn has_warmup_capacity(&self, target: &Target, now: Duration) -> bool {
        let rate_limit = self.warmup_rate_limit(target);
        let mut balancer = self.balancer.borrow_mut();
        rate_limit.is_some_and(|requests_per_s| {
            balancer
                .slow_start
                .has_capacity(&target.id, requests_per_s, now)
        })
    }

    /// Limits the idle connections per target so that those of all VMs take at most half of the
    /// smallest connection limit of any service. The other half is left to requests in flight.
    pub(crate) fn limit_idle_connections(&self) {
        let table = self.route_table();
        let smallest_limit = table
            .services()
            .map(|service| service.max_connections)
            .min();
        let smallest_limit =
            usize::try_from(smallest_limit.unwrap_or(u32::MAX)).unwrap_or(usize::MAX);
        let vm_count = self.member_view().serving_members().len().max(1);
        self.client.set_max_idle(smallest_limit / 2 / vm_count);
    }

    /// Returns whether the route and the customer of a request allow it in the region of a zone.
    pub(super) fn is_zone_allowed(&self, request: &RequestContext, zone: &str) -> bool {
        request.allows_region(self.settings.region_of(zone))
    }

    /// Returns the locality of a target and the time that the round trips to it take, or `None`
    /// if the request may not go there: another target is assigned, the region is not allowed
    /// by the route, or the target was already tried.
    fn locate_target(
        &self,
        request: &RequestContext,
        target: &Target,
        queue_owner: Option<&QueueOwner>,
    ) -> Option<(Locality, Duration)> {
        let is_region_allowed = self.is_zone_allowed(request, &target.zone);
        let is_other_assigned = request
            .assignment
            .as_ref()
            .is_some_and(|assignment| assignment.target != target.id);
        if is_other_assigned || !is_region_allowed || !request.may_try(&target.id) {
            return None;
        }
        let (locality, round_trip) = self.estimate_distance(target, queue_owner);
        // A request that is not idempotent gets a new connection to the target, which takes one
        // more round trip, unless kept ones are used for it.
        let needs_new_connection = queue_owner.is_none()
            && !request.is_idempotent()
            && !self.client.keeps_for_single_runs();
        let round_trips = if needs_new_connection { 2 } else { 1 };
        Some((locality, round_trip * round_trips))
    }

    /// Returns the locality of a target and the round-trip time to it, or to the owner of its
    /// queue. The time is measured when connections are opened and assumed until then.
    pub(super) fn estimate_distance(
        &self,
        target: &Target,
        queue_owner: Option<&QueueOwner>,
    ) -> (Locality, Duration) {
        let (locality, assumed) = if target.zone == self.settings.zone {
            (Locality::SameZone, ASSUMED_ROUND_TRIPS[0])
        } else if self.settings.region_of(&target.zone) == self.settings.region {
            (Locality::SameRegion, ASSUMED_ROUND_TRIPS[1])
        } else {
            (Locality::OtherRegion, ASSUMED_ROUND_TRIPS[2])
        };
        let address = queue_owner.map_or(target.address, |owner| owner.address);
        let measured = self.client.round_trip(address);
        (locality, measured.unwrap_or(assumed))
    }

    /// Returns the rate limit of a cold target in requests per second, summed over all VMs, or
    /// `None` if this VM is not among those selected to send to it or the service is unknown.
    fn warmup_rate_limit(&self, target: &Target) -> Option<f64> {
        let table = self.route_table();
        let service = table.service(&target.service)?;
        let bounds = self.bounds();
        let requests_per_s =
            service.warmup_requests_per_s * bounds.warmup_factor + bounds.warmup_slack;
        let generation = self.member_view().generation();
        let mut senders = self.warmup_senders.borrow_mut();
        let elect = || self.is_elected_for_warmup(target);
        let is_sender = senders.is_sender(&target.id, generation, elect);
        is_sender.then_some(requests_per_s)
    }

    fn is_elected_for_warmup(&self, target: &Target) -> bool {
        let view = self.member_view();
        let members = view.members();
        let present = members.iter().filter(|m| m.status != wire::Status::Gone);
        let vms = present.map(|m| (m.name.as_str(), m.zone.as_str()));
        let senders = select_warmup_senders(&target.id, &target.zone, vms);
        senders.contains(&self.settings.name.as_str())
    }

    /// Returns the position of a newly arrived request among those that wait at this VM.
    ///
    /// The priority of the customer, if it has one, takes the place of that of the route.
    pub(crate) fn next_queue_key(
        &self,
        route: &Route,
        customer: Option<&Customer>,
        is_late: bool,
    ) -> QueueKey {
        let priority = customer.and_then(|customer| customer.priority);
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        QueueKey {
            priority: priority.unwrap_or(route.priority),
            is_late,
            virtual_start: 0,
            sequence,
        }
    }

    /// Counts a newly arrived request for the priority reserve of its service.
    pub(crate) fn record_arrival(&self, request: &RequestContext) {
        let now = self.now();
        let mut balancer = self.balancer.borrow_mut();
        balancer.record_arrival(&request.pending_request(now));
        if request.assignment.is_none() {
            let is_new = !request.has_returned();
            balancer
                .shedding
                .record_arrival(&request.service, is_new, now);
        }
    }

    /// Selects the service for the next request of a route, according to the weights of the
    /// route's services.
    pub(crate) fn select_service(&self, route: &Route) -> String {
        if let [only] = route.services.as_slice() {
            return only.service.clone();
        }
        let mut rotations = self.service_rotations.borrow_mut();
        let rotation = rotations.entry(route.name.clone()).or_default();
        let index = rotation.pick_next(&route.services);
        route.services[index].service.clone()
    }

    /// Returns whether one more target of a service may be ejected: at most half of them are
    /// ejected at a time.
    pub(crate) fn may_eject(&self, service: &str) -> bool {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let balancer = self.balancer.borrow();
        let is_ejected: Vec<bool> = catalog
            .usable_targets(service)
            .map(|target| balancer.is_ejected(&target.id, now))
            .collect();
        let ejected_count = is_ejected.iter().filter(|ejected| **ejected).count();
        (ejected_count + 1) * 2 <= is_ejected.len()
    }
}
