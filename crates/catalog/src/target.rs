//! Description of one target.

use std::{net::SocketAddr, time::Duration};

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// Accepts new requests.
    Ready,
    /// Completes the requests that it has and accepts no new ones.
    Draining,
}

/// A process that runs requests of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Identifier, unique among all targets.
    pub id: String,
    /// Service whose requests the target runs.
    pub service: String,
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: String,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Time until the target has warmed up.
    pub warmup_left: Duration,
    /// Start of the process, in milliseconds since the Unix epoch; 0 if not stated.
    pub started_at_ms: u64,
    /// Number of this report among those that the process has written, in their order.
    pub report_number: u64,
}

impl Target {
    /// Returns the target's own order of its reports, which does not depend on the store.
    pub(crate) fn report(&self) -> Report {
        Report {
            started_at_ms: self.started_at_ms,
            number: self.report_number,
        }
    }
}

/// Position of a report among those of a target: by process, then by number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Report {
    started_at_ms: u64,
    number: u64,
}

impl Report {
    pub(crate) fn is_of_same_process(self, other: Self) -> bool {
        self.started_at_ms == other.started_at_ms
    }
}
