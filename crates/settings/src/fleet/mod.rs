//! Configuration shared by all VMs: regions, sites, links, client blocks, services, presets.

mod capacity;
mod check;
mod raw;
mod types;

pub use raw::RawFleet;
pub use types::{
    ClientBlock, Fleet, Link, Operation, Preset, Region, Service, Share, Site, Target,
};
