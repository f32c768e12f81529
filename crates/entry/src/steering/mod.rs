//! Steers a request to a site, on this VM or through the VM that owns the pool.

mod forward;
mod route;

pub(crate) use forward::{accept, reply};
pub(crate) use route::{candidates, steer};
