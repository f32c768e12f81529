//! The table of routes: which service may run a request, and under which terms.
//!
//! A [`Table`] is made from a whole [`Document`] or not at all, so that no VM ever
//! serves half of a configuration. See `docs/PLATFORM.md`, section "Routes".

mod configuration;
mod error;
mod route_table;
mod weighted_round_robin;

pub use configuration::{Idempotency, Limits, Route, RouteConfiguration, Service, WeightedService};
pub use error::RouteError;
pub use route_table::RouteTable;
pub use weighted_round_robin::WeightedRoundRobin;
