//! A TCP proxy that delays, cuts and freezes what passes through it.

mod proxy;
mod route;

pub use proxy::{serve, spawn_proxy};
pub use route::{FaultConfig, Mode, Route};
