//! A rate of events, as a moving average.

use std::time::Duration;

/// Time after which an event counts for a third of what it counted at first. It is short enough to
/// follow a burst, and long enough for a VM that sees few requests a second.
const TIME_CONSTANT_S: f64 = 1.0;

/// Events per second.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Rate {
    per_s: f64,
    updated_at: Duration,
}

impl Rate {
    /// Counts an event.
    pub(super) fn record(&mut self, now: Duration) {
        self.per_s = self.per_s(now) + 1.0 / TIME_CONSTANT_S;
        self.updated_at = now;
    }

    /// Returns the rate; it falls while there are no events.
    pub(super) fn per_s(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.per_s * (-age.as_secs_f64() / TIME_CONSTANT_S).exp()
    }
}
