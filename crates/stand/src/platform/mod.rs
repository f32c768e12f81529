//! Stand-in for the platform: table service, object store and VM list, all in memory.

mod server;
mod store;

pub use server::serve;
pub use store::{FaultConfig, Mode, Stats};
