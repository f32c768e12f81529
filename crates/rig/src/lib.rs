//! Starts the shipped programs with their stand-ins on loopback, for tests,
//! trials and measurements. It stands in for the hands that start and stop VMs.

mod addresses;
mod admin;
mod audit;
mod control;
mod errors;
mod load;
mod process;
mod rig;

pub use addresses::{LoopbackAddresses, VmSpec};
pub use admin::AdminClient;
pub use audit::Audit;
pub use errors::RigError;
pub use load::Load;
pub use process::Process;
pub use rig::{Options, Rig, wait_until};
