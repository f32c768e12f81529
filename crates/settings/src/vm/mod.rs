//! Configuration of one VM.

mod check;
mod raw;

pub use check::{SeedPeer, Vm};
pub use raw::RawVm;
