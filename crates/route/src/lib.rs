//! The table of routes: which service may run a request, and under which terms.
//!
//! A [`Table`] is made from a whole [`Document`] or not at all, so that no VM ever
//! serves half of a configuration. See `docs/PLATFORM.md`, section "Routes".

mod document;
mod error;
mod split;
mod table;

pub use document::{Backend, Document, Kind, Limits, Route, Service};
pub use error::RouteError;
pub use split::Split;
pub use table::Table;
