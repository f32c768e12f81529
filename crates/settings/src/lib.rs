//! Configuration of the fleet and of one VM, loaded from settings files.
//!
//! The fleet file is shared by all VMs; each VM has its own file, which refers to the fleet file.
//! A file is parsed from YAML into raw structs, which are then validated and converted into
//! the structs that the process uses, so a process never runs with an inconsistent
//! configuration. The format is described in `docs/OPERATORS.md`.

mod errors;
mod fleet;
mod load;
mod vm;

pub use errors::{LoadError, ValidationError};
pub use fleet::{
    ClientBlock, Fleet, Link, Operation, Preset, RawFleet, Region, Service, Share, Site, Target,
};
pub use load::{load_fleet, load_vm};
pub use vm::{RawVm, SeedPeer, Vm};
