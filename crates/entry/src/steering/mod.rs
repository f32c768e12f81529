//! Steers a request to a site, on this VM or through the VM that owns the pool.

mod forward;
mod route;

pub(crate) use forward::{build_reply, run_forwarded};
pub(crate) use route::{site_candidates, steer_request};
