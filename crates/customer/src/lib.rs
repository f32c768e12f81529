//! Customers: who a request comes from, and what the customer is entitled to.
//!
//! Nothing here does I/O or reads a clock. A configuration without customers leaves all of it unused.
//! See `docs/design/customers.md`.

mod identity;
mod listing;
mod profile;
pub mod quota;
mod registry;

pub use identity::{Identity, Refusal};
pub use listing::{Fault, Listing, Row};
pub use profile::{Customer, RateLimit};
pub use registry::{FaultyRow, Registry};
