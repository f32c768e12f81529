//! State that the listeners and the actors of one VM share.

mod directory;
mod fleet;
mod in_flight;
mod owned;
mod places;
mod refusals;
mod reports;
mod request;
mod shared;
mod state;

pub(crate) use directory::Directory;
pub(crate) use in_flight::InFlight;
pub(crate) use owned::{Owned, Ownership, PoolKey};
pub(crate) use places::Places;
pub(crate) use refusals::{Asked, Refusals};
pub(crate) use reports::Reports;
pub(crate) use request::{Answer, Request};
pub(crate) use shared::Node;
pub(crate) use state::{State, marked_vms};
