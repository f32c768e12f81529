//! Steering of requests: selects a site and runs the request on the VM that owns the
//! pool, which is this VM or a peer.

mod forward;
mod route;

pub(crate) use forward::{build_reply, run_forwarded};
pub(crate) use route::{site_candidates, steer_request};
