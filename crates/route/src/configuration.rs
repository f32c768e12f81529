//! A configuration as the operator wrote it, in the product's words.

use std::time::Duration;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once for each attempt of a caller.
    NonIdempotent,
}

/// A service that a route sends to, with its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Part of the requests, relative to the sum of the route's weights.
    pub weight: u32,
}

/// Requests of one host and path prefix, and the terms on which they are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub idempotency: Idempotency,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most.
    pub objective: Duration,
    /// Rank among the requests; 0 goes first.
    pub priority: u32,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
    /// Whether targets answer faster for objects that they know.
    pub uses_affinity: bool,
    /// Regions in which a request may run; empty for all.
    pub allowed_regions: Vec<String>,
    /// Services that run the requests, at least one.
    pub services: Vec<WeightedService>,
}

/// What the configuration says of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Connections that a target takes from all VMs together.
    pub max_connections: u32,
    /// Requests a second that a cold target bears.
    pub warmup_requests_per_s: f64,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Longest time for a request's head to arrive.
    pub header_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfiguration {
    /// Grows with each configuration.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: Limits,
}
