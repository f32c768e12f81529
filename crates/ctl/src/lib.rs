//! The operators' command line.
//!
//! Operators switch the preset in force and mark what is leaving; see
//! `docs/OPERATORS.md`.

mod args;
mod check;
mod client;
mod errors;
mod output;
mod run;

pub use args::Args;
pub use run::run;
