//! Takes a failing target out of use for a while, and lets it back on probation.

use std::time::Duration;

const FAILURES_TO_EJECT: u32 = 2;
const FIRST_EJECTION: Duration = Duration::from_secs(1);
const MAX_DOUBLINGS: u32 = 4;

/// What passive signals say about one target.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Duration>,
}

impl Health {
    /// Notes an answer; the target is trusted again.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure; `may_eject` is false when too many others are ejected.
    pub fn record_failure(&mut self, now: Duration, may_eject: bool) {
        self.failures += 1;
        let on_probation = self.ejected_until.is_some();
        if may_eject && (on_probation || self.failures >= FAILURES_TO_EJECT) {
            let doublings = self.ejections.min(MAX_DOUBLINGS);
            self.ejected_until = Some(now + FIRST_EJECTION * 2_u32.pow(doublings));
            self.ejections += 1;
        }
    }

    /// Whether the target is out of use.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Most requests that the target may have at once, out of its slots.
    #[must_use]
    pub fn max_concurrency(&self, slots: u32, now: Duration) -> u32 {
        match self.ejected_until {
            Some(until) if now < until => 0,
            Some(_) => 1,
            None => slots,
        }
    }
}
