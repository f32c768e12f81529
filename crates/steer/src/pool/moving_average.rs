//! Exponentially weighted moving average of durations.

use std::time::Duration;

/// Average before the first sample, in milliseconds.
const INITIAL_MS: f64 = 50.0;
/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Moving average that follows the last few dozen samples.
#[derive(Debug, Clone)]
pub(crate) struct MovingAverage {
    ms: f64,
}

impl MovingAverage {
    pub(crate) fn new() -> Self {
        Self { ms: INITIAL_MS }
    }

    /// Moves the average towards a new sample.
    pub(crate) fn add_sample(&mut self, sample: Duration) {
        let sample_ms = sample.as_secs_f64() * 1000.0;
        self.ms += (sample_ms - self.ms) * SAMPLE_WEIGHT;
    }

    /// Returns the average in milliseconds.
    pub(crate) fn average_ms(&self) -> f64 {
        self.ms
    }

    /// Returns the average multiplied by `factor`.
    pub(crate) fn mul_f64(&self, factor: f64) -> Duration {
        Duration::from_secs_f64(self.ms * factor / 1000.0)
    }
}
