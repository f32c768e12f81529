//! Why a configuration is not put in force.

/// What is wrong with a configuration.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// It is not newer than the one in force.
    #[error("version {offered} is not newer than version {current}")]
    Stale {
        /// Version of the rejected configuration.
        offered: u64,
        /// Version that stays in force.
        current: u64,
    },
    /// A route names no service.
    #[error("route {0:?} has no service")]
    NoService(String),
    /// A route sends to a service that the configuration does not describe.
    #[error("route {route:?} names unknown service {service:?}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// No service of a route has a weight.
    #[error("route {0:?} has only services of weight zero")]
    ZeroWeight(String),
    /// A prefix does not begin and end with a slash.
    #[error("route {0:?} has a prefix that does not begin and end with a slash")]
    InvalidPrefix(String),
    /// A route allows no time or no attempt.
    #[error("route {0:?} has a timeout or a number of attempts of zero")]
    ZeroLimit(String),
    /// Two routes have the same host and prefix.
    #[error("route {0:?} has the host and prefix of another route")]
    DuplicateMatch(String),
}
