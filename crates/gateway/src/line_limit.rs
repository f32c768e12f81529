//! Bounds how often lines of one event are logged.

use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(1);

/// Number of log lines of one event in the current second.
///
/// A release changes hundreds of targets within seconds, and each VM of a large fleet hears of all of
/// them. Only the first lines of a second are logged, and the number of the others afterwards.
#[derive(Debug, Clone, Default)]
pub struct LineLimit {
    window_end: Duration,
    logged: u32,
    omitted: u64,
}

impl LineLimit {
    /// Returns whether a line may be logged at `now`, at most `max_per_s` in a second. Otherwise it
    /// counts as omitted.
    pub fn may_log(&mut self, max_per_s: u32, now: Duration) -> bool {
        if now >= self.window_end {
            self.window_end = now + WINDOW;
            self.logged = 0;
        }
        if self.logged >= max_per_s {
            self.omitted += 1;
            return false;
        }
        self.logged += 1;
        true
    }

    /// Returns how many lines were omitted since this was last asked for, once the second is over in
    /// which they were.
    pub fn take_omitted(&mut self, now: Duration) -> Option<u64> {
        if now < self.window_end || self.omitted == 0 {
            return None;
        }
        Some(std::mem::take(&mut self.omitted))
    }
}
