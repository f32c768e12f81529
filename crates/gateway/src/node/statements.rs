//! Takes over what targets state about themselves.

use {
    super::{AVOID_TIME, Node, state::duration_ms},
    crate::{http_client::relay::OwnerStatements, peers::broadcast_statements},
    balance::{Change, Feedback, Field, Gossip, Slowdown},
    std::{rc::Rc, time::Duration},
};

impl Node {
    /// Returns whether a rate limit is in force for a target.
    pub(crate) fn is_rate_limited(&self, target: &str) -> bool {
        let balancer = self.balancer.borrow();
        balancer.statements.rate_limit(target).is_some()
    }

    /// Returns whether this VM may send to a target itself although another one owns its queue and
    /// cannot be used. It may not if that VM keeps the target's limit for all, or if the target
    /// leaves or rests.
    pub(crate) fn may_send_past_owner(&self, target: &str) -> bool {
        let is_usable = self.catalog.borrow().is_usable(target);
        let balancer = self.balancer.borrow();
        is_usable && !balancer.statements.is_restricted(target, self.now())
    }

    /// Returns what a VM that relays requests for a target to this one has to know.
    pub(crate) fn feedback(&self, target: &str) -> Feedback {
        let is_leaving = self.catalog.borrow().is_leaving(target);
        let balancer = self.balancer.borrow();
        let feedback = balancer.statements.feedback(target, self.now());
        Feedback {
            leaving: if is_leaving {
                Field::Stated(true)
            } else {
                Field::Absent
            },
            ..feedback
        }
    }

    /// Returns the time since a target last stated the rate limit that is in force.
    pub(crate) fn limit_age(&self, target: &str) -> Option<Duration> {
        let balancer = self.balancer.borrow();
        let limit = balancer.statements.rate_limit(target)?;
        Some(self.now().saturating_sub(limit.stated_at))
    }

    /// Records that the VM through which requests go to a target has no room for `retry_after`.
    pub(crate) fn record_full(&self, target: &str, retry_after: Duration) {
        let until = self.now().saturating_add(retry_after);
        let mut balancer = self.balancer.borrow_mut();
        balancer.statements.record_full(target, until);
    }

    /// Takes over what a target stated in its response to the request `request_id`, which was sent
    /// at `sent_at`. With `is_direct`, this VM had the response from the target itself and passes
    /// changes on.
    pub(crate) fn record_statements(
        self: &Rc<Self>,
        target: &str,
        feedback: &Feedback,
        sent_at: Duration,
        request_id: &str,
        is_direct: bool,
    ) {
        self.report_unreadable(target, feedback, request_id);
        if let Some(slowdown) = feedback.slowdown {
            self.call_for_shedding("a target shares its machine");
            self.record_slowdown(target, slowdown, sent_at);
        }
        if let Field::Stated(rest) = feedback.rest {
            self.record_rest(target, rest, request_id, is_direct);
        }
        let is_of_known_process = self.catalog.borrow().is_of_known_process(target, sent_at);
        let is_newly_leaving = feedback.leaving == Field::Stated(true)
            && is_of_known_process
            && self.mark_leaving(target, self.now(), request_id, "");
        let change = {
            let mut balancer = self.balancer.borrow_mut();
            let statements = &mut balancer.statements;
            statements.record_rate_limit(target, feedback.rate_limit, sent_at, self.now())
        };
        if let Some(change) = change {
            self.report_change(target, change, request_id, "");
        }
        let begins_or_ends = matches!(change, Some(Change::Limited(_) | Change::Unlimited));
        if is_direct && (is_newly_leaving || begins_or_ends) {
            broadcast_statements(self);
        }
    }

    /// Takes over what the VM `from` that owns a target's queue knows of the target and refused the
    /// request `request_id` for. That VM may not know yet what the target stated, so only what it knows
    /// counts, as old as it is: a limit that the refusal renewed would come back to that VM and never
    /// end. It may also not know yet that the target has restarted; then nothing counts.
    pub(crate) fn record_owner_statements(
        &self,
        target: &str,
        owner: &OwnerStatements,
        from: &str,
        request_id: &str,
    ) {
        let started_at_ms = self.catalog.borrow().get(target).map(|t| t.started_at_ms);
        if owner.started_at_ms.is_some() && owner.started_at_ms != started_at_ms {
            return;
        }
        let feedback = &owner.feedback;
        if feedback.leaving == Field::Stated(true) {
            self.record_leaving_by_owner(target, owner, request_id);
        }
        if let Field::Stated(rest) = feedback.rest {
            self.record_rest(target, rest, request_id, false);
        }
        if let Field::Stated(limit_per_s) = feedback.rate_limit {
            let gossip = Gossip {
                target,
                limit_per_s: Some(limit_per_s),
                stated_at: self.now().saturating_sub(owner.limit_age),
            };
            self.merge_statement(&gossip, from);
        }
    }

    /// Takes over how slow a target's machine is, unless a former process of the target stated it.
    fn record_slowdown(&self, target: &str, slowdown: Slowdown, sent_at: Duration) {
        if self.catalog.borrow().is_of_known_process(target, sent_at) {
            let mut balancer = self.balancer.borrow_mut();
            balancer.record_slowdown(target, slowdown, self.now());
        }
    }

    /// Stops sending to a target that leaves as the owner of its queue says. A VM of an earlier build
    /// does not say of which process of the target, so that its word counts only for a while.
    fn record_leaving_by_owner(&self, target: &str, owner: &OwnerStatements, request_id: &str) {
        if owner.started_at_ms.is_some() {
            self.mark_leaving(target, self.now(), request_id, "");
        } else {
            self.record_rest(target, AVOID_TIME, request_id, false);
        }
    }

    /// Stops sending new requests to a target that stated that it leaves. Returns whether it received
    /// some before.
    pub(crate) fn mark_leaving(
        &self,
        target: &str,
        stated_at: Duration,
        request_id: &str,
        from: &str,
    ) -> bool {
        let is_newly_leaving = self.catalog.borrow_mut().mark_leaving(target, stated_at);
        if is_newly_leaving {
            log::info!(event = "target_leaving", target = target, request = request_id, heard_from = from; "target states that it is about to stop; it receives no new requests");
        }
        is_newly_leaving
    }

    fn record_rest(&self, target: &str, rest: Duration, request_id: &str, is_direct: bool) {
        metrics::counter!("cicadalift_rests_total").increment(1);
        let mut balancer = self.balancer.borrow_mut();
        if balancer.statements.record_rest(target, rest, self.now()) {
            log::info!(event = "target_rests", target = target, rest_ms = duration_ms(rest), request = request_id, direct = is_direct; "target rejected a request and wants none for a while");
        }
    }

    /// Takes over what the VM `from` passed on of a target's statements.
    pub(crate) fn merge_statement(&self, gossip: &Gossip<'_>, from: &str) {
        let now = self.now();
        let change = {
            let mut balancer = self.balancer.borrow_mut();
            balancer.statements.merge(gossip, from, now)
        };
        if let Some(change) = change {
            self.report_change(gossip.target, change, "", from);
        }
    }

    /// Counts the statements of a response that cannot be read, and logs them unless some of the
    /// target were logged shortly before.
    fn report_unreadable(&self, target: &str, feedback: &Feedback, request_id: &str) {
        let fields = [
            ("rate limit", feedback.rate_limit == Field::Unreadable),
            ("rest", feedback.rest == Field::Unreadable),
            ("leaving", feedback.leaving == Field::Unreadable),
        ];
        let unreadable = fields.into_iter().filter(|(_, unreadable)| *unreadable);
        let unreadable: Vec<&'static str> = unreadable.map(|(statement, _)| statement).collect();
        for statement in &unreadable {
            metrics::counter!("cicadalift_statements_unreadable_total", "statement" => *statement)
                .increment(1);
        }
        let now = self.now();
        let mut balancer = self.balancer.borrow_mut();
        if !unreadable.is_empty() && balancer.statements.may_report_unreadable(target, now) {
            let statements = unreadable.join(", ");
            log::warn!(event = "statement_unreadable", target = target, statements = statements, request = request_id; "target's statements cannot be read; what it stated before stays in force");
        }
    }

    /// Updates the metric of targets that state a rate limit.
    pub(super) fn update_limited_targets(&self) {
        let limited_count = self.balancer.borrow().statements.limited_count();
        metrics::gauge!("cicadalift_limited_targets").set(f64::from(limited_count));
    }

    fn report_change(&self, target: &str, change: Change, request_id: &str, from: &str) {
        self.update_limited_targets();
        match change {
            Change::Limited(requests_per_s) | Change::Adjusted(requests_per_s) => {
                log::info!(event = "target_limited", target = target, requests_per_s = requests_per_s, request = request_id, heard_from = from; "target accepts only this many requests per second from all VMs together");
            }
            Change::Unlimited => {
                log::info!(event = "target_unlimited", target = target, request = request_id, heard_from = from; "target no longer states a rate limit");
            }
        }
    }
}
