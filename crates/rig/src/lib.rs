//! Test harness that runs the programs of this workspace with stand-ins for
//! the platform, the upstreams and the network, all on loopback.
//!
//! It starts and stops VMs in place of the operators. Integration tests, `cicadalift-try` and
//! measurements use it.

mod addresses;
mod admin;
mod audit;
mod control;
mod errors;
mod load_generator;
mod process;
mod rig;

pub use addresses::{LoopbackAddresses, VmSpec};
pub use admin::AdminClient;
pub use audit::Audit;
pub use errors::RigError;
pub use load_generator::LoadGenerator;
pub use process::Process;
pub use rig::{Options, Rig, wait_until};
