//! Pool of idle connections and estimates of round-trip times, by address.

use {
    super::connection::Connection,
    crate::memory::MemoryBudget,
    balance::{Kept, KeptConnections},
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::Instant,
    wire::Map,
};

/// Upper bound on the idle connections to one address.
const MAX_IDLE_PER_ADDRESS: usize = 8;
/// Number of addresses with a round-trip estimate; all estimates are dropped when it is reached.
const MAX_ROUND_TRIPS: usize = 4096;

/// Idle timeout of a connection over which no request was sent.
const UNUSED_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time allowed for a connection to accept another request after a response.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP client that pools its idle connections.
pub struct Client {
    /// Memory for the bodies of requests and responses.
    pub(crate) memory: Rc<MemoryBudget>,
    idle: RefCell<Map<SocketAddr, Vec<Connection>>>,
    round_trips: RefCell<Map<SocketAddr, Duration>>,
    max_idle: Cell<Option<usize>>,
    /// Which kept connections may carry requests that may run once only.
    pub(crate) kept: RefCell<KeptConnections>,
    started: Instant,
}

impl Client {
    /// Creates a client without connections. The bodies that it reads take a part of
    /// `memory_bytes`, the memory limit of the process.
    #[must_use]
    pub fn new(memory_bytes: usize) -> Self {
        Self {
            memory: MemoryBudget::new(memory_bytes),
            idle: RefCell::default(),
            round_trips: RefCell::default(),
            max_idle: Cell::default(),
            kept: RefCell::default(),
            started: Instant::now(),
        }
    }

    /// Removes a usable idle connection to the address from the pool, if there is one.
    pub(crate) fn check_out(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(&address)?;
        while let Some(connection) = pooled.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Removes the connection to the address that was used last from the pool, if a request that
    /// may run once only may be sent on it.
    pub(super) fn check_out_for_single_run(&self, address: SocketAddr) -> Option<Connection> {
        let connection = self.check_out(address)?;
        let kept = Kept {
            address,
            idle: connection.idle_since.elapsed(),
            stated_timeout: connection.stated_timeout,
        };
        let now = self.started.elapsed();
        if self.kept.borrow().may_run_once_on(&kept, now) {
            return Some(connection);
        }
        let mut idle = self.idle.borrow_mut();
        idle.entry(address).or_default().push(connection);
        None
    }

    /// Returns whether requests that may run once only use kept connections.
    pub(crate) fn keeps_for_single_runs(&self) -> bool {
        self.kept.borrow().is_active()
    }

    /// Records that a kept connection broke, or brought a response that was not awaited.
    pub(super) fn record_break(&self, address: SocketAddr) {
        let mut kept = self.kept.borrow_mut();
        if kept.is_active() {
            kept.record_break(address, self.started.elapsed());
            log::info!(event = "kept_connection_broken", address:% = address; "a kept connection broke or was out of step; for some seconds requests that may run once only get new connections there");
            metrics::counter!("cicadalift_kept_connections_broken_total").increment(1);
        }
    }

    /// Returns a connection to the pool, or closes it if the pool is full for this address.
    pub(crate) fn check_in(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        idle_timeout: Duration,
    ) {
        connection.idle_since = Instant::now();
        connection.idle_timeout = idle_timeout;
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(address).or_default();
        pooled.retain(Connection::is_usable);
        if pooled.len() < self.max_idle.get().unwrap_or(MAX_IDLE_PER_ADDRESS) {
            pooled.push(connection);
        }
    }

    /// Opens a connection to an address and keeps it for a request. Returns whether that succeeded
    /// in time.
    pub(crate) async fn try_connect(&self, address: SocketAddr, timeout: Duration) -> bool {
        let opened = tokio::time::timeout(timeout, Connection::open(address)).await;
        let Ok(Ok(connection)) = opened else {
            return false;
        };
        self.check_in(address, connection, UNUSED_IDLE_TIMEOUT);
        true
    }

    /// Sets the maximum number of idle connections to each address.
    ///
    /// `max_idle` is the share of this VM, such that the idle connections of all VMs together leave
    /// a target room for new ones.
    pub(crate) fn set_max_idle(&self, max_idle: usize) {
        self.max_idle
            .set(Some(max_idle.clamp(1, MAX_IDLE_PER_ADDRESS)));
    }

    /// Updates the round-trip estimate of an address with the time that a connect took.
    pub(crate) fn record_round_trip(&self, address: SocketAddr, connect_time: Duration) {
        let mut estimates = self.round_trips.borrow_mut();
        if estimates.len() >= MAX_ROUND_TRIPS {
            estimates.clear();
        }
        let estimate = estimates.entry(address).or_insert(connect_time);
        // A slow connect reflects the target's load rather than the distance, so larger
        // samples only move the estimate slowly.
        *estimate = if connect_time < *estimate {
            connect_time
        } else {
            (*estimate * 15 + connect_time) / 16
        };
    }

    /// Returns the estimated round-trip time to an address, if a connection was ever opened.
    pub(crate) fn round_trip(&self, address: SocketAddr) -> Option<Duration> {
        self.round_trips.borrow().get(&address).copied()
    }

    /// Closes the idle connections that are past their timeout or were closed by the peer.
    pub(crate) fn close_unusable(&self) {
        let mut idle = self.idle.borrow_mut();
        for pooled in idle.values_mut() {
            pooled.retain(Connection::is_usable);
        }
        idle.retain(|_, pooled| !pooled.is_empty());
    }

    /// Closes all idle connections to an address.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }
}

/// Returns a connection to the pool after its exchange.
pub(super) struct CheckIn {
    pub(super) client: Rc<Client>,
    pub(super) address: SocketAddr,
    /// The connection was opened for one request alone and is closed after it.
    pub(super) is_single_use: bool,
    pub(super) idle_timeout: Duration,
    /// Time after which the target closes idle connections, if it states one.
    pub(super) stated_timeout: Option<Duration>,
}

impl CheckIn {
    /// Returns the connection to the pool once the request is sent in full, as a target may
    /// respond before it has read the whole body.
    pub(super) fn check_in_when_ready(self, mut connection: Connection) {
        if self.is_single_use {
            return;
        }
        connection.stated_timeout = self.stated_timeout;
        tokio::task::spawn_local(async move {
            let ready = tokio::time::timeout(READY_TIMEOUT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                self.client
                    .check_in(self.address, connection, self.idle_timeout);
            }
        });
    }
}
