//! The routing table: which services run a request, and under which limits.
//!
//! A [`RouteTable`] replaces the previous one as a whole. A route that is invalid refuses its own
//! requests and affects no other. See `docs/PLATFORM.md`, section "Routes".

mod configuration;
mod duration;
mod error;
mod route_table;
mod weighted_round_robin;

pub use configuration::{
    Kind, Limits, Route, RouteConfiguration, Service, UnusableRoute, Warning, WeightedService,
};
pub use duration::parse_ms;
pub use error::{LookupError, RouteError, StaleConfiguration};
pub use route_table::RouteTable;
pub use weighted_round_robin::WeightedRoundRobin;
