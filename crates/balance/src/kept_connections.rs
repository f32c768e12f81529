//! Decides whether a request that may run once only is sent on a kept connection.
//!
//! It answers many short requests a second that may run once only, to targets where each new
//! connection takes a slot for a moment. A kept connection may have ended without notice; what was
//! sent on it is then lost, and nobody knows whether it ran. See
//! `docs/design/kept-connections.md`.

use {
    crate::Activation,
    std::{net::SocketAddr, time::Duration},
    wire::Map,
};

/// Longest time for which a connection may have been idle. A path that is lost is noticed within
/// little more than that, so no request is lost long after.
const MAX_IDLE: Duration = Duration::from_secs(1);
/// Part of the idle timeout that the target states, up to which a connection may have been idle.
/// The rest is for targets that close connections sooner than they state.
const MAX_TIMEOUT_FRACTION: f64 = 0.1;
/// Time for which requests are sent on new connections after a kept one to the target has broken:
/// what broke it mostly lasts for some seconds.
const BREAK_MEMORY: Duration = Duration::from_secs(10);

/// An idle connection to a target.
#[derive(Debug, Clone, Copy)]
pub struct Kept {
    /// Address of the target.
    pub address: SocketAddr,
    /// Time since the last response on it.
    pub idle: Duration,
    /// Time after which the target closes idle connections, if it states one.
    pub stated_timeout: Option<Duration>,
}

/// The targets whose kept connections broke lately.
#[derive(Debug, Clone, Default)]
pub struct KeptConnections {
    /// Whether requests that may run once only use kept connections.
    pub activation: Activation,
    broken_at: Map<SocketAddr, Duration>,
}

impl KeptConnections {
    /// Returns whether requests that may run once only use kept connections.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.activation.is_active()
    }

    /// Returns whether a request that may run once only may be sent on a kept connection.
    #[must_use]
    pub fn may_run_once_on(&self, kept: &Kept, now: Duration) -> bool {
        let Some(timeout) = kept.stated_timeout else {
            return false;
        };
        self.is_active()
            && kept.idle <= MAX_IDLE.min(timeout.mul_f64(MAX_TIMEOUT_FRACTION))
            && !self.has_broken(kept.address, now)
    }

    /// Records that a kept connection to a target broke while a response was awaited on it, or that
    /// the response was not the one awaited.
    pub fn record_break(&mut self, address: SocketAddr, now: Duration) {
        self.broken_at
            .retain(|_, broken_at| now.saturating_sub(*broken_at) < BREAK_MEMORY);
        self.broken_at.insert(address, now);
    }

    fn has_broken(&self, address: SocketAddr, now: Duration) -> bool {
        let broken_at = self.broken_at.get(&address);
        broken_at.is_some_and(|broken_at| now.saturating_sub(*broken_at) < BREAK_MEMORY)
    }
}
