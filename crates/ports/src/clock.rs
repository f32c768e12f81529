//! The clock port.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Monotonic time since the start of the process, and the time of day.
#[derive(Clone)]
pub struct Clock {
    /// Time since the start of the process.
    pub monotonic: Arc<dyn Fn() -> Duration + Send + Sync>,
    /// Milliseconds since the epoch.
    pub unix_ms: Arc<dyn Fn() -> u64 + Send + Sync>,
}

impl Clock {
    /// The clock of the operating system.
    #[must_use]
    pub fn system() -> Self {
        let start = Instant::now();
        Self {
            monotonic: Arc::new(move || start.elapsed()),
            unix_ms: Arc::new(system_unix_ms),
        }
    }

    /// Time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Duration {
        (self.monotonic)()
    }

    /// Milliseconds since the epoch.
    #[must_use]
    pub fn unix_ms(&self) -> u64 {
        (self.unix_ms)()
    }
}

fn system_unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    u64::try_from(millis).unwrap_or(u64::MAX)
}
