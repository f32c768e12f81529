//! Rate limiter over a sliding window of one second.

use std::time::Duration;

/// Buckets in the window: 110 of 10 ms each span 1.1 seconds.
const BUCKETS: usize = 110;
const BUCKET_MS: u64 = 10;

/// Rate limiter that allows at most `limit` events in any second, wherever it starts.
///
/// The window spans 1.1 seconds: network delay can bring events to an upstream up to a
/// tenth of a second closer together than they were sent, and they must still keep to
/// the limit there.
#[derive(Debug, Clone)]
pub struct SlidingWindow {
    limit: u32,
    counts: [u32; BUCKETS],
    /// Sum of `counts`.
    total: u32,
    /// Number of the current bucket since the start of the process.
    newest_bucket: u64,
}

impl SlidingWindow {
    /// Creates a limiter that allows `limit` events in any second.
    #[must_use]
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            counts: [0; BUCKETS],
            total: 0,
            newest_bucket: 0,
        }
    }

    /// Changes the limit; the events counted so far still count.
    pub fn set_limit(&mut self, limit: u32) {
        self.limit = limit;
    }

    /// Whether one more event is within the limit.
    pub fn has_room(&mut self, now: Duration) -> bool {
        self.advance(now);
        self.total < self.limit
    }

    /// Counts one event.
    pub fn record(&mut self, now: Duration) {
        self.advance(now);
        self.counts[bucket_index(self.newest_bucket)] += 1;
        self.total += 1;
    }

    /// Returns the events counted in the window, as of the last call of
    /// [`SlidingWindow::has_room`] or [`SlidingWindow::record`].
    #[must_use]
    pub fn count(&self) -> u32 {
        self.total
    }

    /// Returns the events allowed in any second.
    #[must_use]
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Moves the window to `now` and clears the buckets that leave it.
    fn advance(&mut self, now: Duration) {
        let bucket = u64::try_from(now.as_millis()).unwrap_or(u64::MAX) / BUCKET_MS;
        let steps = bucket
            .saturating_sub(self.newest_bucket)
            .min(BUCKETS as u64);
        for step in 1..=steps {
            let index = bucket_index(bucket - steps + step);
            self.total -= self.counts[index];
            self.counts[index] = 0;
        }
        self.newest_bucket = self.newest_bucket.max(bucket);
    }
}

/// Returns the position of a bucket in the ring of counts.
fn bucket_index(bucket: u64) -> usize {
    usize::try_from(bucket % BUCKETS as u64).unwrap_or(0)
}
