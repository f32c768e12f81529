//! Sends reads to the second home of their object, and takes them there.

use {
    super::{Divertible, Node, RequestContext, Reservation},
    crate::http_client::relay::Diversion,
    balance::{
        Dispatch,
        second_home::{Advice, Diverted, Visited},
    },
    route::Kind,
    std::{rc::Rc, time::Duration},
};

impl Node {
    /// Returns what the VM that owns the queue of a request's target is told of other targets: reads
    /// may go elsewhere where targets state how slow their machines are.
    pub(crate) fn diversion(
        &self,
        request: &RequestContext,
        reservation: &Reservation,
    ) -> Diversion {
        if reservation.is_second_home {
            return Diversion::Diverted { may_load: true };
        }
        if reservation.is_copy {
            return Diversion::None;
        }
        let dispatch = &reservation.dispatch;
        match &request.divertible {
            Divertible::Diverted { may_load, .. } => Diversion::Diverted {
                may_load: *may_load,
            },
            Divertible::Open if self.may_divert(request, dispatch) => Diversion::Possible {
                way: self.way_elsewhere(request),
            },
            Divertible::Open | Divertible::Closed => Diversion::None,
        }
    }

    fn may_divert(&self, request: &RequestContext, dispatch: &Dispatch) -> bool {
        let is_allowed = request.route.kind == Kind::Idempotent
            && request.object.is_some()
            && request.assignment.is_none()
            && request.tried_targets.len() <= 1
            && self.bounds().has_second_homes;
        let balancer = self.balancer.borrow();
        let stated = balancer.machine_slowdown(&dispatch.target, self.now());
        is_allowed && stated.is_some()
    }

    /// Returns the round trip that it takes at most to go to another target.
    pub(super) fn way_elsewhere(&self, request: &RequestContext) -> Duration {
        let catalog = self.catalog.borrow();
        let summary = self.region_summary(request, &catalog, self.now());
        summary.remote_round_trip.unwrap_or_default()
    }

    /// Decides whether a read that has arrived at this VM, which owns the queue of its target, goes to
    /// the second home of its object.
    pub(crate) fn advise(
        &self,
        request: &RequestContext,
        target: &str,
        way: Duration,
        requests_ahead: f64,
    ) -> Advice {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let Some(slots) = catalog.get(target).map(|target| target.slots) else {
            return Advice::Stay;
        };
        let visited = Visited {
            target,
            slots,
            requests_ahead,
            way,
        };
        let pending = request.pending_request(now);
        self.balancer.borrow().advise(&pending, &visited, now)
    }

    /// Returns the numbers of requests and of first runs at a target whose queue this VM owns.
    pub(crate) fn load_of(&self, target: &str) -> (f64, u32) {
        self.balancer.borrow().load_of(target, self.now())
    }

    /// Decides whether a target whose queue this VM owns runs a read as the second home of its object.
    pub(crate) fn accepts_diverted(
        &self,
        request: &RequestContext,
        target: &str,
        may_load: bool,
        is_copy: bool,
    ) -> bool {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let Some(slots) = catalog.get(target).map(|target| target.slots) else {
            return false;
        };
        let balancer = self.balancer.borrow();
        let (requests_ahead, first_runs) = balancer.load_of(target, now);
        let diverted = Diverted {
            may_load,
            is_copy,
            requests_ahead,
            first_runs,
        };
        let pending = request.pending_request(now);
        let checked = balancer.check_diverted(&pending, target, slots, &diverted, now);
        if let Err(declined) = checked {
            let reason = declined.as_str();
            metrics::counter!("cicadalift_second_homes_declined_total", "reason" => reason)
                .increment(1);
            log::info!(event = "second_home_declined", request = request.id.as_str(), target = target, reason = reason; "read is not run at the second home of its object");
        }
        checked.is_ok()
    }

    /// Reserves the second home of a read's object, the most preferred target after the first. Returns
    /// `None` if it may not run the read.
    pub(crate) fn reserve_second_home(
        self: &Rc<Self>,
        request: &RequestContext,
        may_load: bool,
        is_copy: bool,
    ) -> Option<Reservation> {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let (pending, eligible) = self.eligible_for(request, &catalog, now);
        let next = self
            .balancer
            .borrow_mut()
            .next_target(&pending, &eligible, now)?;
        let chosen = eligible.iter().find(|e| e.target.id == next.target)?;
        if chosen.is_cold || self.is_rate_limited(&next.target) {
            return None;
        }
        let is_own = !chosen.has_remote_queue;
        if is_own && !self.accepts_diverted(request, &next.target, may_load, is_copy) {
            return None;
        }
        Some(self.reserve(request, chosen, next, now))
    }
}
