//! Idle connections, by address.

use {
    super::connection::Connection,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        time::Duration,
    },
    tokio::time::Instant,
    wire::Map,
};

/// Idle connections kept for one address.
const MAX_IDLE: usize = 8;
/// Addresses whose distance is remembered.
const MAX_ROUND_TRIPS: usize = 4096;

/// Opens connections and keeps those that may be used again.
#[derive(Default)]
pub struct Client {
    idle: RefCell<Map<SocketAddr, Vec<Connection>>>,
    round_trips: RefCell<Map<SocketAddr, Duration>>,
    idle_limit: Cell<Option<usize>>,
}

impl Client {
    /// An idle connection to the address, if one may be used.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next request.
    pub(crate) fn keep(&self, address: SocketAddr, mut connection: Connection, limit: Duration) {
        connection.idle_since = Instant::now();
        connection.idle_limit = limit;
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        kept.retain(Connection::is_usable);
        if kept.len() < self.idle_limit.get().unwrap_or(MAX_IDLE) {
            kept.push(connection);
        }
    }

    /// Bounds the idle connections to an address, so that all VMs together leave room for
    /// new ones.
    pub(crate) fn set_max_idle(&self, limit: usize) {
        self.idle_limit.set(Some(limit.clamp(1, MAX_IDLE)));
    }

    /// Notes how long it took to make a connection.
    pub(crate) fn note_round_trip(&self, address: SocketAddr, took: Duration) {
        let mut known = self.round_trips.borrow_mut();
        if known.len() >= MAX_ROUND_TRIPS {
            known.clear();
        }
        let mean = known.entry(address).or_insert(took);
        // A slow connection says more of the target's load than of the way.
        *mean = if took < *mean {
            took
        } else {
            (*mean * 15 + took) / 16
        };
    }

    /// Time to an address and back.
    pub(crate) fn round_trip(&self, address: SocketAddr) -> Option<Duration> {
        self.round_trips.borrow().get(&address).copied()
    }

    /// Closes idle connections that may not be used again.
    pub(crate) fn sweep(&self) {
        let mut idle = self.idle.borrow_mut();
        for kept in idle.values_mut() {
            kept.retain(Connection::is_usable);
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}
