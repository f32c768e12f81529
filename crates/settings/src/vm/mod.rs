//! Settings of one VM.

mod check;
mod raw;

pub use check::{Peer, Vm};
pub use raw::RawVm;
