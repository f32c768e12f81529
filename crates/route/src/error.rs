//! Reasons for rejecting a configuration.

/// Why a configuration was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// The configuration is not newer than the current one.
    #[error("configuration version {offered} is not newer than current version {current}")]
    Stale {
        /// Version of the rejected configuration.
        offered: u64,
        /// Version that remains in effect.
        current: u64,
    },
    /// A route has no service.
    #[error("route {0:?} has no service")]
    NoService(String),
    /// A route refers to a service that the configuration does not define.
    #[error("route {route:?} refers to undefined service {service:?}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// All services of a route have weight zero.
    #[error("all services of route {0:?} have weight zero")]
    ZeroWeight(String),
    /// A prefix does not begin and end with a slash.
    #[error("path prefix of route {0:?} does not begin and end with a slash")]
    InvalidPrefix(String),
    /// The timeout or the maximum number of attempts of a route is zero.
    #[error("timeout or maximum number of attempts of route {0:?} is zero")]
    ZeroLimit(String),
    /// Two routes match the same host and prefix.
    #[error("route {0:?} has the same host and path prefix as another route")]
    DuplicateMatch(String),
}
