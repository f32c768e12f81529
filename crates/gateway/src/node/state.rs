//! The parts of a node.

use {
    crate::{
        Bounds, Clock, HeaderNames, Registration, Settings, Store, StoreError, http_client::Client,
    },
    balance::{Balancer, RetryBudget},
    catalog::{Catalog, RecordReplica},
    member::{Timeouts, View},
    route::{RouteTable, WeightedRoundRobin},
    std::{
        cell::{Cell, RefCell, RefMut},
        rc::Rc,
        time::Duration,
    },
    steer::Quarantine,
    tokio::sync::{Notify, watch},
    wire::{Map, Member, Status},
};

/// A suspected VM is given up after this time.
const GONE_AFTER: Duration = Duration::from_millis(1500);
/// Targets write their entries anew within about two seconds of the store's return.
const SETTLED_AFTER: Duration = Duration::from_millis(2500);
const FORGET_AFTER: Duration = Duration::from_mins(2);

/// One VM.
pub struct Node {
    /// What it was told at its start.
    pub settings: Settings,
    /// Bounds in force; they change with the settings.
    bounds: RefCell<Bounds>,
    /// Header names.
    pub header_names: HeaderNames,
    /// Calls of the platform's store.
    pub store: Store,
    /// Connections to other processes.
    pub client: Rc<Client>,
    pub(crate) clock: Clock,
    pub(crate) route_table: RefCell<Rc<RouteTable>>,
    pub(crate) service_rotations: RefCell<Map<String, WeightedRoundRobin>>,
    pub(crate) catalog: RefCell<Catalog>,
    pub(crate) balancer: RefCell<Balancer>,
    pub(crate) retry_budgets: RefCell<Map<String, RetryBudget>>,
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) crash_reports: RefCell<Vec<(wire::Crash, u32)>>,
    /// Wakes requests that wait when a target has room.
    pub(crate) capacity_freed: Notify,
    pub(crate) next_sequence: Cell<u64>,
    pub(crate) in_flight: Cell<usize>,
    pub(crate) buffered_bytes: Cell<usize>,
    member_view: RefCell<View>,
    replica: RefCell<RecordReplica>,
    feeds: RefCell<Map<String, Feed>>,
    replica_version: watch::Sender<u64>,
    on_its_own_until: Cell<Duration>,
    leaving: watch::Sender<Option<Duration>>,
    pub(crate) queue_owners: RefCell<super::QueueOwners>,
    socket: RefCell<Option<Rc<crate::peers::Socket>>>,
}

/// What is known of the store by following one table.
#[derive(Debug, Clone, Copy, Default)]
struct Feed {
    failing_since: Option<Duration>,
    recovered_at: Option<Duration>,
}

impl Node {
    /// Starts with nothing known.
    #[must_use]
    pub fn new(settings: Settings, names: HeaderNames, store: Store, client: Rc<Client>) -> Self {
        let timing = Timeouts {
            suspicion_timeout: GONE_AFTER,
            gone_retention: FORGET_AFTER,
        };
        let view = View::new(me(&settings), timing);
        Self {
            bounds: RefCell::new(settings.bounds.clone()),
            settings,
            header_names: names,
            store,
            client,
            clock: Clock::start(),
            route_table: RefCell::default(),
            service_rotations: RefCell::default(),
            catalog: RefCell::default(),
            balancer: RefCell::default(),
            retry_budgets: RefCell::default(),
            quarantine: RefCell::default(),
            crash_reports: RefCell::default(),
            capacity_freed: Notify::new(),
            next_sequence: Cell::new(0),
            in_flight: Cell::new(0),
            buffered_bytes: Cell::new(0),
            member_view: RefCell::new(view),
            replica: RefCell::default(),
            feeds: RefCell::default(),
            replica_version: watch::Sender::new(0),
            on_its_own_until: Cell::new(Duration::ZERO),
            leaving: watch::Sender::new(None),
            queue_owners: RefCell::default(),
            socket: RefCell::default(),
        }
    }

    /// Bounds in force.
    pub(crate) fn bounds(&self) -> Bounds {
        self.bounds.borrow().clone()
    }

    /// Puts other bounds in force.
    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        *self.bounds.borrow_mut() = bounds;
    }

    /// Time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// The other VMs.
    pub(crate) fn member_view(&self) -> RefMut<'_, View> {
        self.member_view.borrow_mut()
    }

    /// The store's rows.
    pub(crate) fn replica(&self) -> RefMut<'_, RecordReplica> {
        self.replica.borrow_mut()
    }

    /// The routes in force.
    pub(crate) fn route_table(&self) -> Rc<RouteTable> {
        self.route_table.borrow().clone()
    }

    /// This VM as it registers itself.
    pub(crate) fn registration(&self) -> Registration {
        Registration {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            peers: self.settings.peers,
            callers: self.settings.callers,
        }
    }

    /// Adds a VM from the list; it is doubted until it is heard.
    pub(crate) fn add_registered_vm(&self, vm: &Registration) {
        let member = Member {
            name: vm.name.clone(),
            zone: vm.zone.clone(),
            peer: vm.peers.to_string(),
            caller: vm.callers.to_string(),
            boot_ms: 0,
            beat: 0,
            status: Status::Suspect,
            control: 0,
        };
        self.member_view().add_unknown(&member, self.now());
    }

    /// Notes that every change of a table up to a version is known.
    pub(crate) fn completed(&self, table: &str, version: u64) {
        self.replica().mark_complete(table, version);
        self.replica_version.send_replace(version);
    }

    /// Follows what is known of the tables.
    pub(crate) fn subscribe_replica(&self) -> watch::Receiver<u64> {
        self.replica_version.subscribe()
    }

    /// Follows the store without a source until a time.
    pub(crate) fn follow_on_its_own(&self, until: Duration) {
        self.on_its_own_until.set(until);
    }

    /// Whether this VM's source failed a moment ago.
    pub(crate) fn is_on_its_own(&self) -> bool {
        self.now() < self.on_its_own_until.get()
    }

    /// Notes that the store answered.
    pub(crate) fn store_answered(&self, table: &str) {
        let now = self.now();
        let mut feeds = self.feeds.borrow_mut();
        let feed = feeds.entry(table.to_owned()).or_default();
        if let Some(since) = feed.failing_since.take() {
            feed.recovered_at = Some(now);
            let away_ms = duration_ms(now.saturating_sub(since));
            log::info!(event = "dependency_regained", dependency = "store", table = table, away_ms = away_ms; "the store answers again");
        }
    }

    /// Notes that a VM that hears the store gave this one what it missed.
    pub(crate) fn source_answered(&self) {
        let tables: Vec<String> = {
            let feeds = self.feeds.borrow();
            let failing = feeds
                .iter()
                .filter(|(_, feed)| feed.failing_since.is_some());
            failing.map(|(table, _)| table.clone()).collect()
        };
        for table in tables {
            self.store_answered(&table);
        }
    }

    /// Notes that the store did not answer.
    pub(crate) fn store_failed(&self, table: &str, error: &StoreError) {
        let now = self.now();
        let mut feeds = self.feeds.borrow_mut();
        let feed = feeds.entry(table.to_owned()).or_default();
        if feed.failing_since.is_none() {
            feed.failing_since = Some(now);
            log::warn!(event = "dependency_lost", dependency = "store", table = table, reason:% = error; "the store does not answer");
        }
    }

    /// Whether the store answers this VM.
    pub(crate) fn is_store_available(&self) -> bool {
        let feeds = self.feeds.borrow();
        feeds.values().all(|feed| feed.failing_since.is_none())
    }

    /// Whether the store has answered this VM for a while: targets that could not renew
    /// their entries while it was away have had time to do so.
    pub(crate) fn is_store_settled(&self) -> bool {
        let now = self.now();
        let feeds = self.feeds.borrow();
        feeds.values().all(|feed| {
            let lately = |at: Duration| now.saturating_sub(at) < SETTLED_AFTER;
            feed.failing_since.is_none() && !feed.recovered_at.is_some_and(lately)
        })
    }

    /// Whether this VM can serve: it knows routes and targets.
    #[must_use]
    pub fn has_routes_and_targets(&self) -> bool {
        self.route_table().version() > 0 && !self.catalog.borrow().is_empty()
    }

    /// Whether this VM takes new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.has_routes_and_targets() && self.leaving_since().is_none()
    }

    /// When this VM was told to stop.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Duration> {
        *self.leaving.borrow()
    }

    /// Follows the beginning of the stop.
    pub(crate) fn watch_leaving(&self) -> watch::Receiver<Option<Duration>> {
        self.leaving.subscribe()
    }

    /// Socket for datagrams, once it is open.
    pub(crate) fn socket(&self) -> Option<Rc<crate::peers::Socket>> {
        self.socket.borrow().clone()
    }

    pub(crate) fn set_socket(&self, socket: Rc<crate::peers::Socket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Begins to stop.
    pub(crate) fn leave(&self) {
        self.leaving.send_replace(Some(self.now()));
        self.member_view().leave();
    }
}

fn me(settings: &Settings) -> Member {
    Member {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        peer: settings.peers.to_string(),
        caller: settings.callers.to_string(),
        boot_ms: Clock::unix_time_ms(),
        beat: 0,
        status: Status::Alive,
        control: 0,
    }
}

/// Whole milliseconds, for logs.
pub(crate) fn duration_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
