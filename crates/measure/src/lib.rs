//! Measures decisions on real processes, and the slopes of `docs/CAPACITY.md`.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures are shown with few digits"
)]

mod baseline;
mod bound;
mod fleet;
mod load;
mod plot;
mod result;
mod scene;
mod slopes;

pub use baseline::{Baseline, Policy};
pub use bound::{Day, DayError, Earned, Knowledge, play};
pub use fleet::fleet;
pub use load::{Open, Target};
pub use plot::plot;
pub use result::Cell;
pub use scene::{Fault, Scene, scenes};
pub use slopes::{Slope, lookups, resting, resting_at, slopes};
