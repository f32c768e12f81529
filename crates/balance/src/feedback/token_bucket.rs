//! Token bucket by which one VM keeps the rate limit of a target for all VMs.

use std::time::Duration;

/// Part of a stated limit that the sender uses. Two halves of a partitioned fleet elect a sender
/// each, and together stay below one and a half times the limit and five requests in any 4 s.
const SENDER_SHARE: f64 = 0.74;
/// Limits below this, in requests per second, are taken for it: a target that gets no request at
/// all could not state that its limit has ended.
const MIN_LIMIT_PER_S: f64 = 0.2;
/// Tokens that a bucket holds at any rate, and those of a new or idle one. There are few, because an
/// earlier sender may just have used its own.
const BASE_CAPACITY: f64 = 1.0;
/// Time without a request after which a bucket counts as idle: this VM may not have been the sender.
/// Buckets that hold more than [`BASE_CAPACITY`] gain a token in less.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Further tokens of a bucket in use, for each token per second above [`BASE_CAPACITY`], up to
/// [`MAX_BURST`].
const BURST_S: f64 = 1.0;
/// Most tokens that [`BURST_S`] adds.
const MAX_BURST: f64 = 1.0;
/// Further tokens beyond those, likewise, without a maximum.
const CAPACITY_S: f64 = 0.02;

/// Token bucket that refills at the rate of one sender.
#[derive(Debug, Clone)]
pub(super) struct TokenBucket {
    tokens_per_s: f64,
    tokens: f64,
    refilled_at: Duration,
    /// When the last token was taken.
    withdrawn_at: Option<Duration>,
}

impl TokenBucket {
    /// Creates a bucket for a limit in requests per second.
    pub(super) fn new(limit_per_s: f64, now: Duration) -> Self {
        Self {
            tokens_per_s: sender_rate(limit_per_s),
            tokens: BASE_CAPACITY,
            refilled_at: now,
            withdrawn_at: None,
        }
    }

    /// Changes the limit; the tokens are kept as far as the new capacity allows.
    pub(super) fn set_limit(&mut self, limit_per_s: f64, now: Duration) {
        self.refill(now);
        self.tokens_per_s = sender_rate(limit_per_s);
        self.tokens = self.tokens.min(self.capacity(now));
    }

    /// Returns the time until a request may be sent that `ahead` others precede.
    pub(super) fn time_until_room(&self, ahead: f64, now: Duration) -> Duration {
        let missing = ahead + 1.0 - self.tokens_at(now);
        let wait = Duration::try_from_secs_f64(missing.max(0.0) / self.tokens_per_s);
        wait.unwrap_or(Duration::MAX)
    }

    /// Takes the token of a request. The count may become negative, for a request that was sent
    /// before the limit was known.
    pub(super) fn withdraw(&mut self, now: Duration) {
        self.refill(now);
        self.tokens -= 1.0;
        self.withdrawn_at = Some(now);
    }

    fn refill(&mut self, now: Duration) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn tokens_at(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.tokens + elapsed_s * self.tokens_per_s).min(self.capacity(now))
    }

    fn capacity(&self, now: Duration) -> f64 {
        let is_in_use = |at: Duration| now.saturating_sub(at) < IDLE_TIME;
        if !self.withdrawn_at.is_some_and(is_in_use) {
            return BASE_CAPACITY;
        }
        let excess_per_s = (self.tokens_per_s - BASE_CAPACITY).max(0.0);
        BASE_CAPACITY + (BURST_S * excess_per_s).min(MAX_BURST) + CAPACITY_S * excess_per_s
    }
}

fn sender_rate(limit_per_s: f64) -> f64 {
    limit_per_s.max(MIN_LIMIT_PER_S) * SENDER_SHARE
}
