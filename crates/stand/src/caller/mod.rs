//! A caller that follows the look-up's advice and records what it was told.

mod client;
mod record;

pub use client::{Caller, Request};
pub use record::{Record, Status};
