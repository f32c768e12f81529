//! The operators' command line.
//!
//! Operators switch the preset in force and mark targets, services, zones and VMs as leaving;
//! see `docs/OPERATORS.md`.

mod args;
mod check;
mod client;
mod errors;
mod output;
mod run;

pub use args::Args;
pub use run::run;
