//! A moving mean of times.

use std::time::Duration;

const INITIAL_MS: f64 = 50.0;
const SAMPLE_WEIGHT: f64 = 0.05;

/// A mean that follows the last few dozen samples.
#[derive(Debug, Clone)]
pub(crate) struct MovingAverage {
    ms: f64,
}

impl MovingAverage {
    pub(crate) fn new() -> Self {
        Self { ms: INITIAL_MS }
    }

    /// Moves the mean towards a new sample.
    pub(crate) fn add_sample(&mut self, sample: Duration) {
        let sample_ms = sample.as_secs_f64() * 1000.0;
        self.ms += (sample_ms - self.ms) * SAMPLE_WEIGHT;
    }

    pub(crate) fn ms(&self) -> f64 {
        self.ms
    }

    /// So many times the mean.
    pub(crate) fn multiplied_by(&self, factor: f64) -> Duration {
        Duration::from_secs_f64(self.ms * factor / 1000.0)
    }
}
