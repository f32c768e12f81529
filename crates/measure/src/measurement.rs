//! Counts and response times of a measured load.

use {hdrhistogram::Histogram, stand::caller::Status, std::time::Duration};

/// Longer times are recorded as this value.
const MAX_TIME_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and times of one policy in one scene.
pub struct Measurement {
    /// Requests that were due.
    pub sent: u64,
    /// Requests with a complete response within the deadline.
    pub answered: u64,
    /// Requests that were refused and did not run.
    pub refused: u64,
    /// Requests that ended in any other way.
    pub other: u64,
    /// Responses per second, as a ratio of the capacity of all slots.
    pub goodput: f64,
    /// Times from when a request was due to its response, in microseconds.
    pub response_times_us: Histogram<u64>,
    /// Times from when a request was due to its refusal, in microseconds.
    pub refusal_times_us: Histogram<u64>,
    /// Requests that targets rejected, normally because no slot was free.
    pub beyond_slots: u64,
}

impl Measurement {
    /// Returns a measurement without requests.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sent: 0,
            answered: 0,
            refused: 0,
            other: 0,
            goodput: 0.0,
            response_times_us: new_histogram(),
            refusal_times_us: new_histogram(),
            beyond_slots: 0,
        }
    }

    /// Records how a request ended and how long it took.
    pub fn record(&mut self, status: Status, took: Duration) {
        let took_us = u64::try_from(took.as_micros()).unwrap_or(MAX_TIME_US);
        self.sent += 1;
        match status {
            Status::Answered => {
                self.answered += 1;
                self.response_times_us.saturating_record(took_us);
            }
            Status::NotRun => {
                self.refused += 1;
                self.refusal_times_us.saturating_record(took_us);
            }
            Status::WrongResponse | Status::MayHaveRun | Status::NoResponse => self.other += 1,
        }
    }

    /// Returns a quantile of the response times. `quantile` is between 0 and 1.
    #[must_use]
    pub fn response_time(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.response_times_us.value_at_quantile(quantile))
    }

    /// Returns a quantile of the refusal times. `quantile` is between 0 and 1.
    #[must_use]
    pub fn refusal_time(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.refusal_times_us.value_at_quantile(quantile))
    }
}

impl Default for Measurement {
    fn default() -> Self {
        Self::new()
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}
