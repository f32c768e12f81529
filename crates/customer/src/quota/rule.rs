//! The bound on the requests of a customer in a sliding window.

use {crate::RateLimit, std::time::Duration};

/// Time from a VM's question until the tokens that it got for it expire.
pub const LEASE_TIME: Duration = Duration::from_millis(300);
/// Part of the slack that a VM which does not own a customer gives out at once, and again in each
/// window. Two such VMs then stay within the slack.
const RESERVE_FRACTION: f64 = 0.25;

/// How the rate limits of customers are enforced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rule {
    /// Length of the sliding window.
    pub window: Duration,
    /// Part of a limit by which failures may exceed it.
    pub overage: f64,
    /// Requests by which failures may exceed a limit in each window, besides.
    pub slack: f64,
}

impl Rule {
    /// Returns how many requests a customer is entitled to in a window.
    #[must_use]
    pub fn window_limit(&self, limit: RateLimit) -> f64 {
        limit.requests_per_s * self.window.as_secs_f64() + limit.burst
    }

    /// Returns how many requests of a customer may reach targets in a window, whatever fails.
    #[must_use]
    pub fn window_bound(&self, limit: RateLimit) -> f64 {
        self.window_limit(limit) * (1.0 + self.overage) + self.slack
    }

    /// Time for which a token counts after it was given out.
    pub(super) fn token_lifetime(&self) -> Duration {
        self.window + LEASE_TIME
    }

    /// Returns how many tokens a VM gives out at once that does not own the customer.
    pub(super) fn reserve(&self) -> f64 {
        self.slack * RESERVE_FRACTION
    }
}
