//! Distribution of the response times of a route, in which the latest responses count most.

/// Number of buckets. Each is a tenth wider than the one before, so that they reach from a
/// millisecond to over a minute.
const BUCKET_COUNT: usize = 120;
const BUCKET_GROWTH: f64 = 1.1;
/// Upper end of the first bucket, in seconds.
const FIRST_BUCKET_S: f64 = 0.001;
/// Responses after which all counts are halved.
const MAX_RESPONSES: f64 = 1000.0;
/// Responses without which nothing is said of the distribution.
const MIN_RESPONSES: f64 = 50.0;
/// Longer responses than a given time without which nothing is said of these.
const MIN_LONGER_RESPONSES: f64 = 2.0;
/// Probability that a copy is sooner, without which it would use up the retry budget for little.
const MIN_PROBABILITY_SOONER: f64 = 0.5;

/// Histogram of response times with buckets of exponential width.
#[derive(Debug, Clone)]
pub struct ResponseTimes {
    counts: [f64; BUCKET_COUNT],
    total: f64,
}

impl Default for ResponseTimes {
    fn default() -> Self {
        Self {
            counts: [0.0; BUCKET_COUNT],
            total: 0.0,
        }
    }
}

impl ResponseTimes {
    /// Adds a response.
    pub fn record(&mut self, response_s: f64) {
        self.counts[bucket_of(response_s)] += 1.0;
        self.total += 1.0;
        if self.total >= MAX_RESPONSES {
            self.halve();
        }
    }

    /// Adds a response that was not awaited beyond `elapsed_s`, as one that took as long as such
    /// responses take on average. Without it, the slow responses that are given up would be
    /// missing, and the others would seem to be all.
    pub fn record_given_up(&mut self, elapsed_s: f64) {
        let further_s = self.mean_further_s(elapsed_s).unwrap_or(0.0);
        self.record(elapsed_s + further_s);
    }

    /// Returns whether a copy of a request that has no response after `elapsed_s` is worthwhile,
    /// if it is expected to take `copy_s`, both in seconds: it is likely to be sooner, and the request
    /// is slower than one that is sent now.
    #[must_use]
    pub fn calls_for_copy(&self, elapsed_s: f64, copy_s: f64) -> bool {
        let Some(usual_s) = self.mean_further_s(0.0) else {
            return false;
        };
        let outlook = self.outlook(elapsed_s, usual_s, copy_s);
        outlook.is_some_and(|outlook| outlook.calls_for_copy())
    }

    /// Returns the earliest time after sending, not before `from_s`, at which a copy is worthwhile
    /// if there is no response by then, all in seconds.
    #[must_use]
    pub fn time_to_copy_s(&self, from_s: f64, copy_s: f64) -> Option<f64> {
        let usual_s = self.mean_further_s(0.0)?;
        for bucket in bucket_of(from_s)..BUCKET_COUNT {
            let at_s = end_of(bucket).max(from_s);
            if self.outlook(at_s, usual_s, copy_s)?.calls_for_copy() {
                return Some(at_s);
            }
        }
        None
    }

    /// Returns how long a response that has not come after `elapsed_s` is expected to take
    /// further, in seconds, or `None` if too little is known.
    #[must_use]
    pub fn mean_further_s(&self, elapsed_s: f64) -> Option<f64> {
        let outlook = self.outlook(elapsed_s, 0.0, 0.0)?;
        Some(outlook.further_s)
    }

    /// Returns the part of the responses that take longer than a time in seconds, or `None` if too
    /// little is known.
    #[must_use]
    pub fn part_longer_than(&self, time_s: f64) -> Option<f64> {
        if self.total < MIN_RESPONSES {
            return None;
        }
        let longer = &self.counts[(bucket_of(time_s) + 1).min(BUCKET_COUNT)..];
        Some(longer.iter().sum::<f64>() / self.total)
    }

    /// Returns the probability that a response takes longer than `time_s` if it takes longer than
    /// `elapsed_s`, both in seconds, or `None` if too little is known.
    #[must_use]
    pub fn probability_longer(&self, elapsed_s: f64, time_s: f64) -> Option<f64> {
        let awaited = self.part_longer_than(elapsed_s)?;
        let longer = self.part_longer_than(time_s)?;
        (awaited * self.total >= MIN_LONGER_RESPONSES).then(|| longer / awaited)
    }

    fn outlook(&self, elapsed_s: f64, usual_s: f64, copy_s: f64) -> Option<Outlook> {
        if self.total < MIN_RESPONSES {
            return None;
        }
        let mut count = 0.0;
        let mut further_s = 0.0;
        let mut beside_copy_s = 0.0;
        let mut longer_than_copy = 0.0;
        for bucket in (bucket_of(elapsed_s) + 1)..BUCKET_COUNT {
            let left_s = (middle_of(bucket) - elapsed_s).max(0.0);
            count += self.counts[bucket];
            further_s += self.counts[bucket] * left_s;
            beside_copy_s += self.counts[bucket] * left_s.min(usual_s);
            if left_s >= copy_s {
                longer_than_copy += self.counts[bucket];
            }
        }
        (count >= MIN_LONGER_RESPONSES).then(|| Outlook {
            further_s: further_s / count,
            beside_copy_s: beside_copy_s / count,
            probability_sooner: longer_than_copy / count,
        })
    }

    fn halve(&mut self) {
        for count in &mut self.counts {
            *count /= 2.0;
        }
        self.total /= 2.0;
    }
}

/// What is expected of a request that has no response after some time.
struct Outlook {
    /// Time that it takes further, in seconds.
    further_s: f64,
    /// Part of that time in which a copy with the usual running time would run beside it.
    beside_copy_s: f64,
    /// Probability that the copy is sooner.
    probability_sooner: f64,
}

impl Outlook {
    fn calls_for_copy(&self) -> bool {
        self.probability_sooner >= MIN_PROBABILITY_SOONER && self.is_slow()
    }

    /// Returns whether a copy with the usual running time frees at least as much time of slots, by
    /// stopping the request, as it takes.
    fn is_slow(&self) -> bool {
        self.further_s >= 2.0 * self.beside_copy_s
    }
}

/// Returns the upper end of a bucket, in seconds.
fn end_of(bucket: usize) -> f64 {
    let exponent = i32::try_from(bucket).unwrap_or(i32::MAX);
    FIRST_BUCKET_S * BUCKET_GROWTH.powi(exponent)
}

fn middle_of(bucket: usize) -> f64 {
    end_of(bucket) / BUCKET_GROWTH.sqrt()
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the indices of the buckets"
)]
fn bucket_of(response_s: f64) -> usize {
    let position = (response_s / FIRST_BUCKET_S).ln() / BUCKET_GROWTH.ln();
    let last = BUCKET_COUNT - 1;
    (position.ceil().max(0.0) as usize).min(last)
}
