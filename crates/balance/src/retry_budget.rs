//! The retry budget of a service, divided between VMs without a message.

use std::{collections::VecDeque, time::Duration};

/// Part of the shared allowance that VMs use, so that VMs that restart and forget what
/// they sent do not break it.
const MARGIN: f64 = 0.8;

/// What all VMs together may send again.
#[derive(Debug, Clone, Copy)]
pub struct RetryPolicy {
    /// Retries for each first send.
    pub ratio: f64,
    /// Retries on top, for all VMs together.
    pub slack: f64,
    /// Span in which sends are counted.
    pub window: Duration,
}

/// First sends and retries of one VM to one service.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    firsts: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl RetryBudget {
    /// Notes a first send.
    pub fn record_first_attempt(&mut self, now: Duration, rule: &RetryPolicy) {
        self.forget(now, rule);
        self.firsts.push_back(now);
    }

    /// Takes one retry out of this VM's part of the budget, if there is one.
    ///
    /// The part grows with this VM's own first sends; the fixed allowance is divided
    /// by the number of VMs.
    pub fn try_withdraw(&mut self, now: Duration, rule: &RetryPolicy, vms: usize) -> bool {
        self.forget(now, rule);
        let own = rule.ratio * count(self.firsts.len());
        let fixed = rule.slack / count(vms.max(1));
        let allowed = MARGIN * (own + fixed);
        let fits = count(self.repeats.len() + 1) <= allowed;
        if fits {
            self.repeats.push_back(now);
        }
        fits
    }

    fn forget(&mut self, now: Duration, rule: &RetryPolicy) {
        let start = now.saturating_sub(rule.window);
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|at| *at < start) {
                times.pop_front();
            }
        }
    }
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn count(number: usize) -> f64 {
    number as f64
}
