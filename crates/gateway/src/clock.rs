//! Time since the start of the process.

use {
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
};

/// The steady clock, which decisions use, and the time of day, which only names incarnations.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The instant that lies at a time since the start.
    #[must_use]
    pub fn instant_at(&self, time: Duration) -> Instant {
        self.start + time
    }

    /// Milliseconds since the epoch.
    #[must_use]
    pub fn unix_time_ms() -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}
