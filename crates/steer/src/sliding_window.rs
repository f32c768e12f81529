//! A rate limit over a sliding second.

use std::time::Duration;

const BUCKETS: usize = 110;
const BUCKET_MS: u64 = 10;

/// Counts events so that no second, wherever it starts, holds more than the limit.
///
/// The window spans a tenth more than a second: events that reach an upstream up
/// to that much closer together than they were sent still keep to the limit.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    limit: u32,
    counts: [u32; BUCKETS],
    sum: u32,
    newest_bucket: u64,
}

impl SlidingWindow {
    /// Allows `limit` events in any second.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            counts: [0; BUCKETS],
            sum: 0,
            newest_bucket: 0,
        }
    }

    /// Changes the limit and keeps what was counted.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Whether one more event fits now.
    pub fn has_room(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.sum < self.limit
    }

    /// Counts one event.
    pub fn record(&mut self, now: Duration) {
        self.advance(now);
        self.counts[bucket_index(self.newest_bucket)] += 1;
        self.sum += 1;
    }

    /// Events counted in the last second.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.sum
    }

    /// Events allowed in any second.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    fn advance(&mut self, now: Duration) {
        let bucket = u64::try_from(now.as_millis()).unwrap_or(u64::MAX) / BUCKET_MS;
        let steps = bucket
            .saturating_sub(self.newest_bucket)
            .min(BUCKETS as u64);
        for step in 1..=steps {
            let index = bucket_index(bucket - steps + step);
            self.sum -= self.counts[index];
            self.counts[index] = 0;
        }
        self.newest_bucket = self.newest_bucket.max(bucket);
    }
}

fn bucket_index(bucket: u64) -> usize {
    usize::try_from(bucket % BUCKETS as u64).unwrap_or(0)
}
