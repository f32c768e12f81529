//! State of a VM that its listeners and actors share.

mod in_flight;
mod lookup_index;
mod pool;
mod proximity;
mod rate_limits;
mod refusal_log;
mod request;
mod state;
mod vm_node;

pub(crate) use in_flight::InFlightGuard;
pub(crate) use lookup_index::LookupIndex;
pub(crate) use pool::{Ownership, PoolKey, PoolState};
pub(crate) use proximity::Proximity;
pub(crate) use refusal_log::{RefusalLog, SiteAttempt};
pub(crate) use request::{Request, Response};
pub(crate) use state::{State, leaving_vms};
pub(crate) use vm_node::Node;
