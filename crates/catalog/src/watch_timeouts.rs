//! Timeouts of the calls that wait for changes of a table.

use std::time::Duration;

/// Part of the time allowed for a change that a call waits for changes.
const WAIT_FRACTION: f64 = 0.4;
/// Part of the time allowed for a change after which the next call is made if the last one brought
/// changes, so that further ones arrive together.
const BATCH_FRACTION: f64 = 0.1;
/// Part of the time allowed for a change that the response to a call may take at first, on top of
/// that wait.
const MARGIN_FRACTION: f64 = 0.2;
/// Largest time allowed for a response on top of the wait.
const MAX_MARGIN: Duration = Duration::from_millis(1500);
/// Time allowed for a response, relative to how long the last one took.
const MARGIN_PER_RESPONSE_TIME: u32 = 2;

/// Timeouts of the calls by which a VM waits for changes of one table.
///
/// Until a call times out, a silent store cannot be told from one without changes. The delay before
/// the call, the wait and the time for the response together therefore stay well below the time in which a change has to be in
/// force. After a failed call the next one does not wait, so that a store that is back is noticed
/// at once.
#[derive(Debug, Clone, Copy)]
pub struct WatchTimeouts {
    /// Time allowed for a response on top of the wait.
    margin: Duration,
    has_failed: bool,
    /// Time in which a change has to be in force.
    change_time: Duration,
}

impl WatchTimeouts {
    /// Creates the timeouts for the first call. Changes have to be in force within `change_time`.
    #[must_use]
    pub fn new(change_time: Duration) -> Self {
        let mut timeouts = Self {
            margin: Duration::ZERO,
            has_failed: false,
            change_time,
        };
        timeouts.margin = timeouts.min_margin();
        timeouts
    }

    /// Replaces the time in which a change has to be in force.
    pub fn set_change_time(&mut self, change_time: Duration) {
        self.change_time = change_time;
        self.margin = self.margin.clamp(self.min_margin(), self.max_margin());
    }

    /// Returns the time between a call that brought changes and the next one.
    #[must_use]
    pub fn batch_delay(&self) -> Duration {
        self.change_time.mul_f64(BATCH_FRACTION)
    }

    /// Returns how long the next call waits for changes.
    #[must_use]
    pub fn wait(&self) -> Duration {
        if self.has_failed {
            return Duration::ZERO;
        }
        self.change_time.mul_f64(WAIT_FRACTION)
    }

    /// Returns the time after which the next call has failed.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.wait() + self.margin
    }

    /// Records that a call succeeded `elapsed` after its start.
    pub fn record_success(&mut self, elapsed: Duration) {
        // With changes the response comes before the wait is over, and says nothing of its delay.
        if let Some(response_time) = elapsed.checked_sub(self.wait()) {
            let margin = response_time * MARGIN_PER_RESPONSE_TIME;
            self.margin = margin.clamp(self.min_margin(), self.max_margin());
        }
        self.has_failed = false;
    }

    /// Records that a call failed. A store that is only slow gets more time for the next one.
    pub fn record_failure(&mut self) {
        self.margin = (self.margin * 2).min(self.max_margin());
        self.has_failed = true;
    }

    fn min_margin(&self) -> Duration {
        self.change_time.mul_f64(MARGIN_FRACTION)
    }

    fn max_margin(&self) -> Duration {
        MAX_MARGIN.max(self.min_margin())
    }
}
