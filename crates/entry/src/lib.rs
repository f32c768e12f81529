//! The process that runs on each entry VM: lookups, request steering, pool ownership,
//! group membership and the operators' interface.
//!
//! See `docs/DESIGN.md`, section "One process on each VM".

mod args;
mod caller;
mod claims;
mod errors;
mod launch;
mod node;
mod operator;
mod peers;
mod run;
mod steering;
mod upstream;
mod watch;

pub use args::Args;
pub use launch::run;
