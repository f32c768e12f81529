//! Outlier ejection: takes a failing target out of use, then readmits it on probation.

use std::time::Duration;

/// Consecutive failures that eject a target which is not on probation.
const FAILURES_TO_EJECT: u32 = 2;
/// Length of the first ejection; each further one is twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// Doublings after which an ejection gets no longer.
const MAX_DOUBLINGS: u32 = 4;

/// Ejection state of one target, derived from the results of its requests.
///
/// After an ejection the target is on probation: it gets one request at a time, and a
/// single failure ejects it again for twice as long.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

impl Health {
    /// Records a success, which clears all failures and ends the probation.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a failure and ejects the target when it is on probation or has failed too
    /// often in a row. `may_eject` is false when too many other targets are ejected already;
    /// the failure is then only counted.
    pub fn record_failure(&mut self, now: Duration, may_eject: bool) {
        self.failures += 1;
        let on_probation = self.ejected_until.is_some();
        if may_eject && (on_probation || self.failures >= FAILURES_TO_EJECT) {
            let doublings = self.ejections.min(MAX_DOUBLINGS);
            self.ejected_until = Some(now + FIRST_EJECTION * 2_u32.pow(doublings));
            self.ejections += 1;
        }
    }

    /// Whether the target is ejected at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns how many requests may run on the target at once: none while it is ejected,
    /// one on probation, else all of its `slots`.
    #[must_use]
    pub fn max_concurrency(&self, slots: u32, now: Duration) -> u32 {
        match self.ejected_until {
            Some(until) if now < until => 0,
            Some(_) => 1,
            None => slots,
        }
    }
}
