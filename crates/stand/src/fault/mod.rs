//! A TCP proxy that delays, cuts and freezes what passes through it.

mod proxy;
mod route;

pub use proxy::{carry_all, serve};
pub use route::{Mode, Route, Setting};
