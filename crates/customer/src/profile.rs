//! What the configuration says of a customer.

/// Number of requests that a customer may make, at all VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimit {
    /// Sustained rate.
    pub requests_per_s: f64,
    /// Requests beyond the sustained rate that may come at once.
    pub burst: f64,
}

/// A customer, without its keys.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Name, which targets are told.
    pub name: String,
    /// Priority of its requests in place of that of their route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Quota of its requests; `None` for no limit.
    pub rate_limit: Option<RateLimit>,
    /// Regions in which its requests may run; empty for all regions.
    pub allowed_regions: Vec<String>,
}

impl Customer {
    /// Returns the limit on its requests, if there is one. A burst without a rate is none.
    #[must_use]
    pub fn quota(&self) -> Option<RateLimit> {
        self.rate_limit.filter(|limit| limit.requests_per_s > 0.0)
    }

    /// Returns whether the customer's requests may run in a region.
    #[must_use]
    pub fn allows_region(&self, region: &str) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.iter().any(|r| r == region)
    }
}
