//! Fault-injecting TCP proxy: delays, drops, truncates or blocks the traffic of a route.

mod proxy;
mod route;

pub use proxy::{serve, spawn_proxy};
pub use route::{FaultConfig, Mode, ProxyRoute};
