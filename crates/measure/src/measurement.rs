//! What one policy did in one scene.

use {hdrhistogram::Histogram, stand::caller::Status, std::time::Duration};

const MAX_TIME_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Counts and times of one policy in one scene.
pub struct Measurement {
    /// Requests that were to be sent.
    pub sent: u64,
    /// Whole answers inside the deadline.
    pub answered: u64,
    /// Requests told that they did not run.
    pub refused: u64,
    /// Everything else.
    pub other: u64,
    /// Answers a second in the counted time, per slot-second of capacity.
    pub goodput: f64,
    /// Times of answers from the intended send, in microseconds.
    pub response_times_us: Histogram<u64>,
    /// Times of refusals, in microseconds.
    pub refusal_times_us: Histogram<u64>,
    /// Requests that upstreams ran beyond their slots or refused because of them.
    pub beyond_slots: u64,
}

impl Measurement {
    /// An empty cell.
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

    /// Notes the end of one request.
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
            Status::WrongAnswer | Status::MayHaveRun | Status::NoAnswer => self.other += 1,
        }
    }

    /// A quantile of the answers' times.
    #[must_use]
    pub fn response_time(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.response_times_us.value_at_quantile(quantile))
    }

    /// A quantile of the refusals' times.
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
