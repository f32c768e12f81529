//! Stand-in for the platform: table service, object store and list of VMs.

mod server;
mod store;

pub use server::serve;
pub use store::{Fault, Mode, Stats};
