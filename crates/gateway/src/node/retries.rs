//! Takes retries and copies out of this VM's part of the retry budgets.

use {
    super::{Node, RequestContext, duration_ms},
    balance::{RetryBudget, RetryRule},
    std::time::Duration,
};

/// Why a request is sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RetryCause {
    /// A target rejected it.
    Rejected,
    /// A target may have run it, and no valid response came.
    Broken,
    /// It is slow at its target, and a copy is sent to another one.
    Slow,
}

impl RetryCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Rejected => "rejected",
            Self::Broken => "broken",
            Self::Slow => "slow",
        }
    }
}

impl Node {
    /// Counts a first attempt for the retry budget of a service.
    pub(crate) fn record_first_attempt(&self, service: &str) {
        let rule = self.bounds().retry;
        let now = self.earning_time(&rule);
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.to_owned()).or_default();
        budget.record_first_attempt(now, &rule);
    }

    /// Takes one retry out of this VM's part of the retry budget of the request's service. Returns
    /// false if the part is used up.
    pub(crate) fn try_withdraw_retry(&self, request: &RequestContext, cause: RetryCause) -> bool {
        let rule = self.bounds().retry;
        let now = self.earning_time(&rule);
        let vm_count = self.known_vm_count();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(request.service.clone()).or_default();
        let is_withdrawn = match cause {
            RetryCause::Slow => budget.try_withdraw_copy(now, &rule, vm_count),
            RetryCause::Rejected | RetryCause::Broken => budget.try_withdraw(now, &rule, vm_count),
        };
        self.report_retry(request, cause, is_withdrawn, budget, vm_count);
        is_withdrawn
    }

    /// Returns the retry of a copy that was not sent to a target to the budget.
    pub(crate) fn refund_retry(&self, service: &str) {
        let mut budgets = self.retry_budgets.borrow_mut();
        if let Some(budget) = budgets.get_mut(service) {
            budget.refund();
        }
    }

    /// Returns the time since retries are earned: since the start of the process, and a window before it
    /// if the whole system starts for the first time, as no process before this one has sent any.
    fn earning_time(&self, rule: &RetryRule) -> Duration {
        let earlier = if self.settings.is_first_start {
            rule.window
        } else {
            Duration::ZERO
        };
        self.now() + earlier
    }

    fn report_retry(
        &self,
        request: &RequestContext,
        cause: RetryCause,
        is_withdrawn: bool,
        budget: &RetryBudget,
        vm_count: Option<usize>,
    ) {
        let result = if is_withdrawn { "taken" } else { "declined" };
        metrics::counter!("cicadalift_retries_total", "cause" => cause.as_str(), "result" => result)
            .increment(1);
        log::info!(event = "retry", request = request.id.as_str(), service = request.service.as_str(), cause = cause.as_str(), result = result, tokens = budget.tokens(), vms = vm_count.unwrap_or_default(), uptime_ms = duration_ms(self.now()); "request is to be sent once more, if the retry budget allows it");
    }
}
