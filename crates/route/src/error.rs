//! Errors of configurations, routes and lookups.

/// The configuration is not newer than the one in force.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("configuration version {offered} is not newer than current version {current}")]
pub struct StaleConfiguration {
    /// Version of the rejected configuration.
    pub offered: u64,
    /// Version that remains in effect.
    pub current: u64,
}

/// Why a route cannot be served.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// The route has no service.
    #[error("it has no service")]
    NoService,
    /// The route refers to a service that the configuration does not define.
    #[error("service {0:?} is not defined")]
    UnknownService(String),
    /// All services of the route have weight zero.
    #[error("all of its services have weight zero")]
    ZeroWeight,
    /// The prefix does not begin and end with a slash.
    #[error("its path prefix does not begin and end with a slash")]
    InvalidPrefix,
    /// The timeout or the maximum number of attempts is zero.
    #[error("its timeout or maximum number of attempts is zero")]
    ZeroLimit,
    /// An earlier route matches the same host and prefix.
    #[error("another route has the same host and path prefix")]
    DuplicateMatch,
}

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LookupError {
    /// No route matches the host and path.
    #[error("no route matches")]
    NoMatch,
    /// The route that matches cannot be served.
    #[error("the matching route is unusable")]
    Unusable,
}
