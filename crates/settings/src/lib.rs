//! Settings of the fleet and of one VM: read from YAML into plain structs, then
//! checked into the structs that run, so that a process never starts on a file
//! that contradicts itself. The format is described in `docs/OPERATORS.md`.

mod errors;
mod file;
mod fleet;
mod vm;

pub use errors::{LoadError, ValidationError};
pub use file::{load_fleet, load_vm};
pub use fleet::{
    ClientBlock, Fleet, Link, Operation, Preset, RawFleet, Region, Service, Share, Site, Target,
};
pub use vm::{RawVm, SeedPeer, Vm};
