//! One target.

use std::{net::SocketAddr, time::Duration};

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
}

/// A process that runs requests of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Identifier, unique among all targets.
    pub id: String,
    /// Service whose requests it runs.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Availability zone in which it runs.
    pub zone: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Time for which it is still cold.
    pub warmup_left: Duration,
    /// Start of its process, in milliseconds since the epoch; 0 when it does not say.
    pub started_at_ms: u64,
}
