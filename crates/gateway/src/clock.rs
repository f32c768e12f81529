//! The clock of the process.

use {
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
    tokio::time::Instant,
};

/// The monotonic clock on which all decisions are based. It starts with the process. The system
/// time, which may jump, serves only to identify incarnations.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts a time since the start to an instant.
    #[must_use]
    pub fn instant_at(&self, time: Duration) -> Instant {
        self.start + time
    }

    /// Returns the time since the machine started, the time for which it was suspended included.
    #[must_use]
    pub fn boot_time() -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
        Duration::new(seconds, nanoseconds)
    }

    /// Returns the system time in milliseconds since the Unix epoch; 0 before the epoch.
    #[must_use]
    pub fn unix_time_ms() -> u64 {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        since_epoch.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
    }
}
