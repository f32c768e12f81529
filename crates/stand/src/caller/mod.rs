//! Client that picks an entry VM from the lookup, follows retry hints and records outcomes.

mod client;
mod record;

pub use client::{Caller, Request};
pub use record::{Record, Status};
