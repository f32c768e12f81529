//! Chooses the targets of copies of slow requests, and takes them out of the retry budget.

use {
    super::{Divertible, Node, RequestContext, Reservation, RetryCause},
    balance::{
        Affinity, Decision, Dispatch,
        hedge::{Declined, Pending},
    },
    catalog::Catalog,
    route::Kind,
    std::{rc::Rc, time::Duration},
};

/// What became of a check whether a slow request is sent once more.
pub(crate) enum CopyCheck {
    /// A copy is sent to this target.
    Send(Box<Reservation>),
    /// It is checked again at this time after the request was sent, unless that has a response.
    Later(Duration),
    /// No copy is sent.
    Declined(Declined),
}

impl Node {
    /// Returns whether a request that was sent to a target may be sent once more if it is slow:
    /// only to services whose targets state how slow their machines are.
    pub(crate) fn may_copy(&self, request: &RequestContext, dispatch: &Dispatch) -> bool {
        let tried_count = u32::try_from(request.tried_targets.len()).unwrap_or(u32::MAX);
        let is_allowed = request.route.kind == Kind::Idempotent
            && request.assignment.is_none()
            && tried_count < request.route.max_attempts
            && self.bounds().hedges_reads;
        let now = self.now();
        is_allowed
            && self
                .balancer
                .borrow()
                .machine_slowdown(&dispatch.target, now)
                .is_some()
    }

    /// Returns the time after sending at which a copy of the request is first considered: when it
    /// would be sooner at a target that has the object.
    pub(crate) fn first_copy_check(
        &self,
        request: &RequestContext,
        dispatch: &Dispatch,
    ) -> Option<Duration> {
        let pending = pending(request, dispatch, Duration::ZERO);
        let balancer = self.balancer.borrow();
        let copy_s = balancer.cached_run_s(&dispatch.route)?;
        balancer.hedging.time_to_copy(&pending, copy_s)
    }

    /// Returns the time after sending at which a copy of a read that is likely to be late can still be
    /// in time at the second home of its object, if there is such a time.
    pub(crate) fn time_for_copy_in_time(
        &self,
        request: &RequestContext,
        dispatch: &Dispatch,
    ) -> Option<Duration> {
        let is_allowed = self.bounds().has_second_homes
            && request.object.is_some()
            && !matches!(request.divertible, Divertible::Diverted { .. });
        if !is_allowed {
            return None;
        }
        let waited = dispatch.sent_at.saturating_sub(request.arrived_at) + request.prior_wait;
        let until_late = request.route.objective.checked_sub(waited)?;
        // Before the balancer is borrowed, as a summary of the regions that is made anew changes it.
        let way_s = self.way_elsewhere(request).as_secs_f64();
        let balancer = self.balancer.borrow();
        let copy_s = balancer.cached_run_s(&dispatch.route)? + way_s;
        balancer
            .hedging
            .time_for_copy_in_time(dispatch, until_late, copy_s)
    }

    /// Reserves the second home of a read's object for a copy, which runs there if the target has the
    /// object, or may learn it.
    pub(crate) fn reserve_copy_in_time(
        self: &Rc<Self>,
        request: &RequestContext,
    ) -> Option<Reservation> {
        let is_crowded = {
            let balancer = self.balancer.borrow();
            balancer.hedging.is_crowded(&request.service, self.now())
        };
        if is_crowded {
            return None;
        }
        let mut reservation = self.reserve_second_home(request, true, true)?;
        if !self.try_withdraw_retry(request, RetryCause::Slow) {
            return None;
        }
        reservation.is_copy = true;
        reservation.is_second_home = true;
        Some(reservation)
    }

    /// Decides whether a copy of a slow request is sent now. It counts as in flight at its target
    /// until the reservation is dropped.
    pub(crate) fn check_copy(
        self: &Rc<Self>,
        request: &RequestContext,
        dispatch: &Dispatch,
    ) -> CopyCheck {
        let now = self.now();
        let pending = pending(request, dispatch, now.saturating_sub(dispatch.sent_at));
        let catalog = self.catalog.borrow();
        let Some((copy, copy_s)) = self.copy_dispatch(request, &catalog, now) else {
            return CopyCheck::Declined(Declined::NoTarget);
        };
        let checked = {
            let balancer = self.balancer.borrow();
            let hedging = &balancer.hedging;
            hedging
                .check_copy(&pending, &copy, copy_s, now)
                .map_err(|declined| (declined, hedging.time_to_copy(&pending, copy_s)))
        };
        match checked {
            Ok(()) => {}
            Err((Declined::NotSooner, Some(at))) if at > pending.elapsed => {
                return CopyCheck::Later(at);
            }
            Err((declined, _)) => return CopyCheck::Declined(declined),
        }
        if !self.try_withdraw_retry(request, RetryCause::Slow) {
            return CopyCheck::Declined(Declined::NoBudget);
        }
        let Some(reservation) = self.reserve_copy(request, copy, &catalog, now) else {
            self.refund_retry(&request.service);
            return CopyCheck::Declined(Declined::NoTarget);
        };
        CopyCheck::Send(Box::new(reservation))
    }

    /// Returns the dispatch of a copy, and the time in seconds that it is expected to take. Targets
    /// that are cold or limited by a rate get no copies.
    fn copy_dispatch(
        &self,
        request: &RequestContext,
        catalog: &Catalog,
        now: Duration,
    ) -> Option<(Dispatch, f64)> {
        let (_, decision) = self.choose_target(request, catalog, now);
        let Decision::Send(mut copy) = decision else {
            return None;
        };
        if catalog.is_cold(&copy.target, now) || self.is_rate_limited(&copy.target) {
            return None;
        }
        // The request's first choice is the target that it was sent to.
        if copy.affinity == Affinity::Likely {
            copy.affinity = Affinity::Unknown;
        }
        let copy_s = self.balancer.borrow().expected_response_s(&copy, now)?;
        Some((copy, copy_s))
    }

    fn reserve_copy(
        self: &Rc<Self>,
        request: &RequestContext,
        copy: Dispatch,
        catalog: &Catalog,
        now: Duration,
    ) -> Option<Reservation> {
        let target = catalog.get(&copy.target)?;
        let chosen = self.eligible_target(request, target, catalog, now)?;
        let mut reservation = self.reserve(request, &chosen, copy, now);
        reservation.is_copy = true;
        Some(reservation)
    }

    /// Records that the response of a request was not awaited any longer, as its copy had one.
    pub(crate) fn record_given_up(&self, dispatch: &Dispatch) {
        let elapsed = self.now().saturating_sub(dispatch.sent_at);
        let mut balancer = self.balancer.borrow_mut();
        balancer.hedging.record_given_up(dispatch, elapsed);
    }

    /// Records whether a request found a target with room.
    pub(crate) fn record_room(&self, request: &RequestContext, has_room: bool) {
        let now = self.now();
        let mut balancer = self.balancer.borrow_mut();
        balancer
            .hedging
            .record_room(&request.service, has_room, now);
    }
}

fn pending<'a>(
    request: &'a RequestContext,
    dispatch: &'a Dispatch,
    elapsed: Duration,
) -> Pending<'a> {
    Pending {
        dispatch,
        service: &request.service,
        elapsed,
    }
}
