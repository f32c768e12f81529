//! The retry budget of a service, divided between VMs without coordination.

use std::{collections::VecDeque, time::Duration};

/// Fraction of a window's allowance that a VM earns in the window.
const EARNED_FRACTION: f64 = 0.5;
/// Fraction of a window's allowance that a VM can save up. A process that starts has saved nothing, as
/// the one before it may have spent its savings in the same window.
const SAVED_FRACTION: f64 = 0.45;
/// Fraction of its savings that a VM keeps from copies of slow requests, for failed requests.
const COPY_RESERVE: f64 = 0.5;

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

/// This VM's part of the retries to one service, as a token bucket that is empty when the process
/// starts.
///
/// A token is one retry. Tokens are earned by first attempts and, for the VM's part of the fixed slack,
/// by time. What all processes of a VM send in a window is thus at most what one of them had saved and
/// what they earn in the window, however often the VM starts. Every `now` is a time since the start of
/// the process.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    first_attempts: VecDeque<Duration>,
    tokens: f64,
    /// Until when tokens were earned by time.
    earned_until: Duration,
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now: Duration, rule: &RetryRule) {
        self.expire(now, rule);
        self.first_attempts.push_back(now);
        self.tokens += EARNED_FRACTION * rule.ratio;
    }

    /// Takes a token for one retry. Returns false if there is none.
    ///
    /// The fixed slack is divided by the number of VMs. While that is not known, this VM has no part of
    /// it.
    pub fn try_withdraw(
        &mut self,
        now: Duration,
        rule: &RetryRule,
        vm_count: Option<usize>,
    ) -> bool {
        self.try_withdraw_above(0.0, now, rule, vm_count)
    }

    /// Takes a token for the copy of a slow request. Copies are refused while failed requests
    /// still get retries.
    pub fn try_withdraw_copy(
        &mut self,
        now: Duration,
        rule: &RetryRule,
        vm_count: Option<usize>,
    ) -> bool {
        self.try_withdraw_above(COPY_RESERVE, now, rule, vm_count)
    }

    /// Returns the token of a retry that was not sent to a target.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Returns the tokens that are left, as of the latest call.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes a token if that leaves a fraction of the most that can be saved.
    fn try_withdraw_above(
        &mut self,
        reserve: f64,
        now: Duration,
        rule: &RetryRule,
        vm_count: Option<usize>,
    ) -> bool {
        self.expire(now, rule);
        let slack = vm_count.map_or(0.0, |count| rule.slack / to_f64(count.max(1)));
        let max_tokens = self.earn(slack, now, rule);
        let has_token = self.tokens - 1.0 >= reserve * max_tokens;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Adds the tokens that were earned by time. Returns the most that can be saved.
    fn earn(&mut self, slack: f64, now: Duration, rule: &RetryRule) -> f64 {
        let elapsed = now.saturating_sub(self.earned_until);
        self.earned_until = now;
        let windows = elapsed.as_secs_f64() / rule.window.as_secs_f64();
        self.tokens += EARNED_FRACTION * slack * windows;
        let proportional = rule.ratio * to_f64(self.first_attempts.len());
        let max_tokens = SAVED_FRACTION * (proportional + slack);
        self.tokens = self.tokens.min(max_tokens);
        max_tokens
    }

    /// Removes first attempts that have left the window.
    fn expire(&mut self, now: Duration, rule: &RetryRule) {
        let start = now.saturating_sub(rule.window);
        while self.first_attempts.front().is_some_and(|at| *at < start) {
            self.first_attempts.pop_front();
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
