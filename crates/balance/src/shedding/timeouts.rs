//! Tells callers who came back from new ones by the time that they still allow.
//!
//! It answers callers of one route who state timeouts that differ by as much as the latency
//! objective is long: compared with the longest timeout, many a new caller would pass for one who
//! has waited past the objective.

use std::time::Duration;

/// Part of the new callers whose timeouts are below the tracked quantile.
const QUANTILE: f64 = 0.1;
/// Timeouts below the quantile by less than this part of it are taken for those of new callers.
const TOLERANCE: f64 = 0.02;
/// Smallest step of the quantile, as a part of the timeout. It is small so that callers who return
/// during an overload of some seconds hardly move the quantile.
const MIN_STEP: f64 = 0.0005;
/// Step of the quantile at the first timeout, as a part of it; the steps become shorter with each.
const FIRST_STEP: f64 = 0.1;

/// Callers in a row that seem to have come back after which new callers are taken to state shorter
/// timeouts than before: even in a long overload some callers are new.
const MAX_RETURNED_IN_A_ROW: u32 = 100;

/// The short end of the timeouts that new callers of a route state.
#[derive(Debug, Clone, Copy, Default)]
pub struct Timeouts {
    /// Estimated quantile, in seconds.
    quantile_s: f64,
    count: u32,
    /// Number of callers since the last new one, and the longest timeout among them, in seconds.
    returned_in_a_row: u32,
    longest_returned_s: f64,
}

impl Timeouts {
    /// Records the timeout of an arriving request and returns the least time that its caller has
    /// waited since its first attempt; zero for a new caller.
    pub fn record(&mut self, timeout: Duration) -> Duration {
        let timeout_s = timeout.as_secs_f64();
        if self.count == 0 {
            self.quantile_s = timeout_s;
        }
        self.count = self.count.saturating_add(1);
        let waited_s = self.quantile_s - timeout_s;
        let step = (FIRST_STEP / f64::from(self.count)).max(MIN_STEP) * self.quantile_s;
        let is_below = if waited_s > 0.0 { 1.0 } else { 0.0 };
        self.quantile_s += step * (QUANTILE - is_below);
        if waited_s <= TOLERANCE * self.quantile_s {
            self.returned_in_a_row = 0;
            self.longest_returned_s = 0.0;
            return Duration::ZERO;
        }
        self.record_returned(timeout_s);
        Duration::from_secs_f64(waited_s)
    }

    /// Lowers the quantile at once if no caller seems to be new any more.
    fn record_returned(&mut self, timeout_s: f64) {
        self.returned_in_a_row += 1;
        self.longest_returned_s = self.longest_returned_s.max(timeout_s);
        if self.returned_in_a_row >= MAX_RETURNED_IN_A_ROW {
            self.quantile_s = self.longest_returned_s;
            self.returned_in_a_row = 0;
            self.longest_returned_s = 0.0;
        }
    }
}
