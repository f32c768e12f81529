//! Starts the shipped programs with their stand-ins on loopback, for tests,
//! trials and measurements. It stands in for the hands that start and stop VMs.

mod admin;
mod audit;
mod errors;
mod interfaces;
mod layout;
mod load;
mod process;
mod rig;

pub use admin::Admin;
pub use audit::Audit;
pub use errors::RigError;
pub use layout::{Layout, Place};
pub use load::Load;
pub use process::Process;
pub use rig::{Options, Rig, until};
