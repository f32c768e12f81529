//! The operator's configuration of routes and services, independent of the platform's format.

use std::time::Duration;

/// How often a request may run, and what its responses are like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run any number of times, and its responses are large.
    Download,
    /// A request runs at most once for each attempt of a caller.
    NonIdempotent,
}

impl Kind {
    /// Returns whether a request may run more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        match self {
            Self::Idempotent | Self::Download => true,
            Self::NonIdempotent => false,
        }
    }
}

/// A service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the sum of the route's weights.
    pub weight: u32,
}

/// How requests with a given host and path prefix are served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route, used in logs.
    pub name: String,
    /// Host that requests must name.
    pub host: String,
    /// Path prefix that requests must have; begins and ends with a slash.
    pub prefix: String,
    /// How often a request may run, and what its responses are like.
    pub kind: Kind,
    /// Longest time until a request is answered.
    pub timeout: Duration,
    /// Latency objective: the time within which a response has its full value.
    pub objective: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Maximum number of targets to which one request may be sent.
    pub max_attempts: u32,
    /// Whether targets respond faster to requests for objects that they have cached.
    pub uses_affinity: bool,
    /// Whether requests need no key where the configuration lists customers.
    pub is_public: bool,
    /// Regions in which a request may run; empty for all regions.
    pub allowed_regions: Vec<String>,
    /// Services that run the requests; at least one.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Returns whether a request may run in a region.
    #[must_use]
    pub fn allows_region(&self, region: &str) -> bool {
        self.allowed_regions.is_empty() || self.allowed_regions.iter().any(|r| r == region)
    }
}

/// A route that cannot be served, because a part of it is invalid or cannot be understood.
///
/// It keeps its host and prefix, so that no route with a shorter prefix gets its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnusableRoute {
    /// Name of the route; empty if it cannot be read.
    pub name: String,
    /// Host that requests must name; empty if it cannot be read.
    pub host: String,
    /// Path prefix that requests must have; empty if it cannot be read.
    pub prefix: String,
    /// Why the route cannot be served.
    pub reason: String,
}

/// A part of a configuration that was not understood and was replaced or left out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warning {
    /// Route or service that has the part.
    pub subject: String,
    /// What was not understood, and what holds in its place.
    pub reason: String,
}

/// The configuration of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections to one target from all VMs together.
    pub max_connections: u32,
    /// Requests per second that a cold target can serve.
    pub warmup_requests_per_s: f64,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time until a request head is complete.
    pub header_timeout: Duration,
    /// Maximum time for which a connection may be idle.
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

/// A complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfiguration {
    /// Version, which increases with each configuration.
    pub version: u64,
    /// All routes that were understood.
    pub routes: Vec<Route>,
    /// Routes that were not understood.
    pub unusable_routes: Vec<UnusableRoute>,
    /// Parts that were not understood and do not prevent their route from being served.
    pub warnings: Vec<Warning>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on callers.
    pub limits: Limits,
}
