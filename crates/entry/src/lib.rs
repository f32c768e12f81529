//! The process of an entry VM: look-ups, steering of requests, ownership of
//! pools, membership and the operators' interface in one process.
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
