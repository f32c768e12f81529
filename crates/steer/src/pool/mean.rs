//! A moving mean of times.

use std::time::Duration;

const FIRST_MS: f64 = 50.0;
const WEIGHT: f64 = 0.05;

/// A mean that follows the last few dozen samples.
#[derive(Debug, Clone)]
pub(crate) struct Mean {
    ms: f64,
}

impl Mean {
    pub(crate) fn new() -> Self {
        Self { ms: FIRST_MS }
    }

    /// Moves the mean towards a new sample.
    pub(crate) fn add(&mut self, sample: Duration) {
        let sample_ms = sample.as_secs_f64() * 1000.0;
        self.ms += (sample_ms - self.ms) * WEIGHT;
    }

    pub(crate) fn ms(&self) -> f64 {
        self.ms
    }

    /// So many times the mean.
    pub(crate) fn times(&self, factor: f64) -> Duration {
        Duration::from_secs_f64(self.ms * factor / 1000.0)
    }
}
