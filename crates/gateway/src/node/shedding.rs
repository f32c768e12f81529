//! Carries out what the balancer decides about refusals when there is too little room.

use {
    super::{Node, RequestContext, duration_ms},
    balance::{Decision, EligibleTarget, PendingRequest, shedding::Refusal},
    route::RouteTable,
    std::time::Duration,
};

impl Node {
    /// Records that the deployment calls for shedding by least loss, unless the settings rule it out.
    pub(crate) fn call_for_shedding(&self, reason: &str) {
        if self.balancer.borrow_mut().shedding.activation.call_for() {
            log::info!(event = "shedding_in_force", reason = reason; "from now on requests are delayed and refused such that callers lose least");
        }
    }

    /// Discards what is known of services that are not in a route table.
    pub(super) fn forget_services(&self, table: &RouteTable) {
        let is_known = |service: &str| table.service(service).is_some();
        self.balancer
            .borrow_mut()
            .shedding
            .retain_services(is_known);
        self.fair_shares.borrow_mut().retain_services(is_known);
    }

    /// Decides on a request, and reports if it is refused to keep slots from a first run.
    pub(super) fn decide(
        &self,
        request: &PendingRequest<'_>,
        targets: &[EligibleTarget<'_>],
        now: Duration,
    ) -> Decision {
        let mut balancer = self.balancer.borrow_mut();
        let declined_before = balancer.shedding.first_runs_declined;
        let decision = balancer.choose_target(request, targets, now);
        let declined = balancer.shedding.first_runs_declined;
        if declined > declined_before {
            log::info!(event = "first_run_declined", request = request.id, route = request.route; "request refused: its target would have to load its object first, is short of slots, and the response would be late");
            metrics::counter!("cicadalift_first_runs_declined_total").absolute(declined);
        }
        decision
    }

    /// Counts an answered request for the room that is expected for callers who return.
    pub(crate) fn record_answer(&self, service: &str) {
        let now = self.now();
        let mut balancer = self.balancer.borrow_mut();
        balancer.shedding.record_completion(service, now);
    }

    /// Returns when the caller of a refused request may return. `expected_wait` is the time until
    /// one of the targets that were asked has room.
    pub(crate) fn plan_return(
        &self,
        context: &RequestContext,
        expected_wait: Duration,
        had_free_slots: bool,
    ) -> Duration {
        let now = self.now();
        let refusal = Refusal {
            priority: context.queue_key.priority,
            had_free_slots,
            expected_wait,
            time_left: context.caller_deadline.saturating_sub(now),
        };
        let mut balancer = self.balancer.borrow_mut();
        let Some(planned) = balancer
            .shedding
            .plan_return(&context.service, &refusal, now)
        else {
            return expected_wait;
        };
        let reason = planned.reason.as_str();
        log::info!(event = "return_planned", request = context.id.as_str(), reason = reason, after_ms = duration_ms(planned.after), waited_ms = duration_ms(context.prior_wait); "time chosen at which a refused caller may return");
        metrics::counter!("cicadalift_returns_total", "reason" => reason).increment(1);
        planned.after
    }
}
