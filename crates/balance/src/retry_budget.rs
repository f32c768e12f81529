//! The retry budget of a service, divided between VMs without coordination.

use std::{collections::VecDeque, time::Duration};

/// Fraction of the allowed retries that VMs use. The rest covers VMs that restart and lose
/// their counts.
const SAFETY_FACTOR: f64 = 0.8;
/// Fraction of those up to which copies of slow requests may use them.
const COPY_FRACTION: f64 = 0.5;

/// Limit on the retries of all VMs together to one service.
#[derive(Debug, Clone, Copy)]
pub struct RetryRule {
    /// Retries allowed for each first attempt.
    pub ratio: f64,
    /// Retries allowed in each window regardless of first attempts, for all VMs together.
    pub slack: f64,
    /// Length of the sliding window in which attempts are counted.
    pub window: Duration,
}

/// What a budget has counted in its window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Requests that were sent for the first time.
    pub first_attempts: usize,
    /// Retries and copies.
    pub retries: usize,
}

/// First attempts and retries of one VM to one service, as the times at which they were sent.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    first_attempts: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Duration, rule: &RetryRule) {
        self.expire(now, rule);
        self.first_attempts.push_back(now);
    }

    /// Takes one retry from this VM's share of the budget. Returns false if none is left.
    ///
    /// The share grows with this VM's own first attempts; the fixed slack is divided by the
    /// number of VMs.
    pub fn try_withdraw(&mut self, now: Duration, rule: &RetryRule, vm_count: usize) -> bool {
        self.try_withdraw_within(SAFETY_FACTOR, now, rule, vm_count)
    }

    /// Takes one retry for the copy of a slow request. Copies are refused while failed requests
    /// still get retries.
    pub fn try_withdraw_copy(&mut self, now: Duration, rule: &RetryRule, vm_count: usize) -> bool {
        self.try_withdraw_within(SAFETY_FACTOR * COPY_FRACTION, now, rule, vm_count)
    }

    /// Returns the latest retry to the budget, as it was not sent to a target.
    pub fn refund(&mut self) {
        self.retries.pop_back();
    }

    /// Returns what was counted in the window that ended with the latest call.
    #[must_use]
    pub fn usage(&self) -> Usage {
        Usage {
            first_attempts: self.first_attempts.len(),
            retries: self.retries.len(),
        }
    }

    fn try_withdraw_within(
        &mut self,
        fraction: f64,
        now: Duration,
        rule: &RetryRule,
        vm_count: usize,
    ) -> bool {
        self.expire(now, rule);
        let proportional = rule.ratio * to_f64(self.first_attempts.len());
        let fixed = rule.slack / to_f64(vm_count.max(1));
        let allowed = fraction * (proportional + fixed);
        let is_allowed = to_f64(self.retries.len() + 1) <= allowed;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    /// Removes attempts that have left the window.
    fn expire(&mut self, now: Duration, rule: &RetryRule) {
        let start = now.saturating_sub(rule.window);
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|at| *at < start) {
                times.pop_front();
            }
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
