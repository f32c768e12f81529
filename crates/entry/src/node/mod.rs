//! State that the listeners and the actors of one VM share.

mod directory;
mod fleet;
mod owned;
mod reports;
mod request;
mod shared;
mod state;

pub(crate) use directory::Directory;
pub(crate) use fleet::tier;
pub(crate) use owned::{Owned, Ownership, PoolKey};
pub(crate) use reports::Reports;
pub(crate) use request::{Answer, Request};
pub(crate) use shared::Node;
pub(crate) use state::{State, marked_vms};
