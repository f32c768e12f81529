//! Settings that all VMs share: places, services, links and presets.

mod caps;
mod check;
mod raw;
mod types;

pub use raw::RawFleet;
pub use types::{
    ClientBlock, Fleet, Link, Operation, Preset, Region, Service, Share, Site, Target,
};
