//! The clock port: monotonic time and wall-clock time.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Source of monotonic time and of wall-clock time; tests supply their own functions.
#[derive(Clone)]
pub struct Clock {
    /// Returns the monotonic time since the clock was created.
    pub monotonic: Arc<dyn Fn() -> Duration + Send + Sync>,
    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    pub unix_time_ms: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl Clock {
    /// Creates a clock that reads the operating system's clocks.
    #[must_use]
    pub fn system() -> Self {
        let start = Instant::now();
        Self {
            monotonic: Arc::new(move || start.elapsed()),
            unix_time_ms: Arc::new(system_unix_time_ms),
        }
    }

    /// Returns the monotonic time since the clock was created.
    #[must_use]
    pub fn now(&self) -> Duration {
        (self.monotonic)()
    }

    /// Returns the wall-clock time in milliseconds since the Unix epoch.
    #[must_use]
    pub fn unix_time_ms(&self) -> u64 {
        (self.unix_time_ms)()
    }
}

fn system_unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
