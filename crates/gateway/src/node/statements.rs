//! Takes over what targets state about themselves.

use {
    super::Node,
    balance::{Change, Feedback, Field},
    std::time::Duration,
};

impl Node {
    /// Takes over what a target stated in its response to the request `request_id`, which was sent
    /// at `sent_at`.
    pub(crate) fn record_statements(
        &self,
        target: &str,
        feedback: &Feedback,
        sent_at: Duration,
        request_id: &str,
    ) {
        if feedback.rate_limit == Field::Unreadable {
            metrics::counter!("cicadalift_statements_unreadable_total", "statement" => "rate limit")
                .increment(1);
        }
        let mut balancer = self.balancer.borrow_mut();
        let statements = &mut balancer.statements;
        let change = statements.record_rate_limit(target, feedback.rate_limit, sent_at, self.now());
        let Some(change) = change else {
            return;
        };
        metrics::gauge!("cicadalift_limited_targets").set(f64::from(statements.limited_count()));
        match change {
            Change::Limited(requests_per_s) => {
                log::info!(event = "target_limited", target = target, requests_per_s = requests_per_s, request = request_id; "target accepts only this many requests per second from all VMs together");
            }
            Change::Unlimited => {
                log::info!(event = "target_unlimited", target = target, request = request_id; "target no longer states a rate limit");
            }
            Change::Unreadable => {
                log::warn!(event = "statement_unreadable", target = target, statement = "rate limit", request = request_id; "target's statement cannot be read; what it stated before stays in force");
            }
        }
    }
}
