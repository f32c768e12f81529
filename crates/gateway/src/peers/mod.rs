//! What VMs tell each other.

mod crash;
mod prober;
mod records;
mod socket;

pub(crate) use crash::suspect_crash;
pub(crate) use prober::{broadcast, greet, probe_loop};
pub(crate) use records::records;
pub(crate) use socket::{Socket, receive_loop};
