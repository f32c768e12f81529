//! The routing table: which services run a request, and under which limits.
//!
//! A [`RouteTable`] is built from a whole [`RouteConfiguration`] or not at all, so that no VM
//! serves a partly applied configuration. See `docs/PLATFORM.md`, section "Routes".

mod configuration;
mod error;
mod route_table;
mod weighted_round_robin;

pub use configuration::{Idempotency, Limits, Route, RouteConfiguration, Service, WeightedService};
pub use error::RouteError;
pub use route_table::RouteTable;
pub use weighted_round_robin::WeightedRoundRobin;
