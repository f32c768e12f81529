//! Tells whether this VM, not a target, has lost its way.

use std::time::Duration;

/// Shortest interval between checks while this VM reaches targets.
const MIN_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Whether this VM reaches any target.
///
/// A VM may be partitioned from all targets while callers and other VMs still reach it. Any target to
/// which no connection can be opened leads to a check of several targets at once, whose result the
/// caller records.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    checked_at: Option<Duration>,
    is_cut_off: bool,
}

impl Reachability {
    /// Records that no connection to a target could be opened. Returns whether a check is due.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        let is_recent = |checked_at| now.saturating_sub(checked_at) < MIN_CHECK_INTERVAL;
        if self.is_cut_off || self.checked_at.is_some_and(is_recent) {
            return false;
        }
        self.checked_at = Some(now);
        true
    }

    /// Records the result of a check: whether any target accepted a connection. Returns whether
    /// this VM was cut off until now, or is from now on.
    pub fn record_check(&mut self, reached_any: bool) -> bool {
        let has_changed = self.is_cut_off == reached_any;
        self.is_cut_off = !reached_any;
        has_changed
    }

    /// Returns whether this VM reaches no target.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }
}
