//! What a day could earn: the pure decisions on a model of VMs and targets, once with one
//! board for all VMs, which then know everything, and once with a board for each.

mod model;
mod scene;
mod target;

pub use model::{Earned, Knowledge, play};
pub use scene::{Day, DayError};
