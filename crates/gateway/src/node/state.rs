//! The node: the state of one VM and the handles that its tasks share.

use {
    crate::{
        Bounds, Clock, HeaderNames, Registration, Settings, Store, StoreError, http_client::Client,
        peers::HeardStatement,
    },
    balance::{Balancer, Reachability, RetryBudget},
    catalog::{Catalog, EraTracker, RecordReplica},
    member::{Timeouts, View},
    route::{RouteTable, WeightedRoundRobin},
    std::{
        cell::{Cell, RefCell, RefMut},
        rc::Rc,
        time::Duration,
    },
    steer::Quarantine,
    tokio::sync::{Notify, watch},
    wire::{Map, Member, Revision, Status},
};

/// Time in which a suspected VM can refute the suspicion before it counts as gone.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after the end of a store outage in which missing target rows may still be renewed:
/// targets rewrite their rows within about two seconds.
const SETTLE_TIME: Duration = Duration::from_millis(2500);
/// Time after the start from which a VM accepts callers although it could not register.
const MAX_REGISTRATION_WAIT: Duration = Duration::from_secs(2);
/// Time after which the record of a gone VM is removed.
const GONE_RETENTION: Duration = Duration::from_mins(2);

/// The shared state of one VM.
pub struct Node {
    /// Settings of the VM. Its bounds are those at the start; the ones in force may have been
    /// reloaded since.
    pub settings: Settings,
    /// Bounds in force.
    bounds: RefCell<Bounds>,
    /// Names of the headers that callers and targets use.
    pub header_names: HeaderNames,
    /// Operations of the platform's store.
    pub store: Store,
    /// HTTP client for targets, other VMs and the store.
    pub client: Rc<Client>,
    pub(crate) clock: Clock,
    pub(crate) route_table: RefCell<Rc<RouteTable>>,
    /// By route, the rotation among its services.
    pub(crate) service_rotations: RefCell<Map<String, WeightedRoundRobin>>,
    pub(crate) catalog: RefCell<Catalog>,
    pub(crate) balancer: RefCell<Balancer>,
    /// Retry budgets by service.
    pub(crate) retry_budgets: RefCell<Map<String, RetryBudget>>,
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Crash counts to gossip, each with the number of times that it was sent.
    pub(crate) crash_reports: RefCell<Vec<(wire::Crash, u32)>>,
    /// Statements of targets whose rows are not known yet.
    pub(crate) pending_statements: RefCell<Vec<HeardStatement>>,
    /// Whether this VM reaches targets.
    pub(super) reachability: RefCell<Reachability>,
    /// Wakes the check of that.
    pub(super) reachability_doubted: Notify,
    /// Wakes waiting requests when a request at a target completes.
    pub(crate) capacity_freed: Notify,
    /// Sequence number of the next request, for the order of the queues.
    pub(crate) next_sequence: Cell<u64>,
    /// Number of requests being served.
    pub(crate) in_flight: Cell<usize>,
    member_view: RefCell<View>,
    /// Rows of the platform's store.
    replica: RefCell<RecordReplica>,
    /// Reachability of the store, by table.
    table_health: RefCell<Map<String, TableHealth>>,
    /// When the store last responded, to this VM or to the one that it receives rows from.
    last_store_contact: Cell<Option<Duration>>,
    /// Wakes requests of peers for rows when there may be new ones, or this VM loses the store.
    replica_changes: watch::Sender<()>,
    pub(super) era_tracker: Cell<EraTracker>,
    /// Wakes the calls that began in an earlier era. Counts the eras that have begun.
    pub(super) era_changes: watch::Sender<u64>,
    /// Time until which this VM watches the store itself because its update source failed.
    source_bypass_until: Cell<Duration>,
    /// Whether the other VMs can discover this one.
    is_registered: Cell<bool>,
    /// Holds the time at which this VM began to leave.
    leaving: watch::Sender<Option<Duration>>,
    pub(crate) queue_owners: RefCell<super::QueueOwners>,
    /// By route and service, the targets by region.
    pub(crate) region_summaries: RefCell<Map<String, Map<String, super::RegionSummary>>>,
    socket: RefCell<Option<Rc<crate::peers::Socket>>>,
}

/// Reachability of the store, as seen by the calls for one table.
#[derive(Debug, Clone, Copy, Default)]
struct TableHealth {
    failing_since: Option<Duration>,
    recovered_at: Option<Duration>,
}

impl Node {
    /// Creates a node without routes, targets or peers.
    #[must_use]
    pub fn new(
        settings: Settings,
        header_names: HeaderNames,
        store: Store,
        client: Rc<Client>,
    ) -> Self {
        let timeouts = Timeouts {
            suspicion_timeout: SUSPICION_TIMEOUT,
            gone_retention: GONE_RETENTION,
        };
        let view = View::new(local_member(&settings), timeouts);
        let balancer = Balancer::new(settings.bounds.max_share_speed());
        Self {
            bounds: RefCell::new(settings.bounds.clone()),
            settings,
            header_names,
            store,
            client,
            clock: Clock::start(),
            route_table: RefCell::default(),
            service_rotations: RefCell::default(),
            catalog: RefCell::default(),
            balancer: RefCell::new(balancer),
            retry_budgets: RefCell::default(),
            quarantine: RefCell::default(),
            crash_reports: RefCell::default(),
            pending_statements: RefCell::default(),
            reachability: RefCell::default(),
            reachability_doubted: Notify::new(),
            capacity_freed: Notify::new(),
            next_sequence: Cell::new(0),
            in_flight: Cell::new(0),
            member_view: RefCell::new(view),
            replica: RefCell::default(),
            table_health: RefCell::default(),
            last_store_contact: Cell::default(),
            replica_changes: watch::Sender::new(()),
            era_tracker: Cell::default(),
            era_changes: watch::Sender::new(0),
            source_bypass_until: Cell::new(Duration::ZERO),
            is_registered: Cell::new(false),
            leaving: watch::Sender::new(None),
            queue_owners: RefCell::default(),
            region_summaries: RefCell::default(),
            socket: RefCell::default(),
        }
    }

    /// Returns the bounds in force.
    pub(crate) fn bounds(&self) -> Bounds {
        self.bounds.borrow().clone()
    }

    /// Replaces the bounds in force.
    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        self.balancer.borrow_mut().max_share_speed = bounds.max_share_speed();
        *self.bounds.borrow_mut() = bounds;
    }

    /// Returns the time since the start of the process.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Borrows the membership view.
    pub(crate) fn member_view(&self) -> RefMut<'_, View> {
        self.member_view.borrow_mut()
    }

    /// Borrows the replica of the store's rows.
    pub(crate) fn replica(&self) -> RefMut<'_, RecordReplica> {
        self.replica.borrow_mut()
    }

    /// Returns the route table in force.
    pub(crate) fn route_table(&self) -> Rc<RouteTable> {
        self.route_table.borrow().clone()
    }

    /// Returns the registration of this VM.
    pub(crate) fn registration(&self) -> Registration {
        Registration {
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            peer_address: self.settings.peers,
            caller_address: self.settings.callers,
        }
    }

    /// Adds a VM from the list of registrations. It is suspected until a message from it
    /// arrives, since the list may be out of date.
    pub(crate) fn add_registered_vm(&self, vm: &Registration) {
        let member = Member {
            name: vm.name.clone(),
            zone: vm.zone.clone(),
            peer: vm.peer_address.to_string(),
            caller: vm.caller_address.to_string(),
            boot_ms: 0,
            beat: 0,
            status: Status::Suspect,
            control: Revision::default(),
        };
        self.member_view().add_unknown(&member, self.now());
    }

    /// Records that all changes of a table up to a revision are known, and notifies peers that
    /// wait for them.
    pub(crate) fn mark_table_complete(&self, table: &str, revision: Revision) {
        self.replica().mark_complete(table, revision);
        self.replica_changes.send_replace(());
    }

    /// Returns the revision up to which all changes of all tables are known, or the start of the
    /// era if a table has not been read in it.
    pub(crate) fn complete_revision(&self) -> Revision {
        let replica = self.replica();
        let complete = replica.complete_revision(&self.store.tables);
        complete.unwrap_or(replica.era_start())
    }

    /// Returns a receiver that is notified when a table becomes complete up to a new revision, or
    /// this VM loses the store.
    pub(crate) fn subscribe_replica(&self) -> watch::Receiver<()> {
        self.replica_changes.subscribe()
    }

    /// Makes this VM watch the store itself, without its update source, until a time.
    pub(crate) fn bypass_source_until(&self, until: Duration) {
        self.source_bypass_until.set(until);
    }

    /// Returns whether this VM watches the store itself because its update source failed recently.
    pub(crate) fn is_bypassing_source(&self) -> bool {
        self.now() < self.source_bypass_until.get()
    }

    /// Records a successful store call for a table.
    pub(crate) fn record_store_success(&self, table: &str) {
        self.last_store_contact.set(Some(self.now()));
        self.end_table_failure(table);
    }

    fn end_table_failure(&self, table: &str) {
        let now = self.now();
        let mut table_health = self.table_health.borrow_mut();
        let health = table_health.entry(table.to_owned()).or_default();
        if let Some(since) = health.failing_since.take() {
            health.recovered_at = Some(now);
            let away_ms = duration_ms(now.saturating_sub(since));
            log::info!(event = "dependency_regained", dependency = "store", table = table, away_ms = away_ms; "store is reachable again");
        }
    }

    /// Records a batch from an update source that can reach the store. This counts as a success
    /// for every table whose calls failed. `store_age` is the time since the store responded to the
    /// source, or `None` if the source does not say.
    pub(crate) fn record_source_success(&self, store_age: Option<Duration>) {
        let heard_at = self.now().saturating_sub(store_age.unwrap_or_default());
        let previous = self.last_store_contact.get();
        self.last_store_contact.set(previous.max(Some(heard_at)));
        let tables: Vec<String> = {
            let table_health = self.table_health.borrow();
            let failing = table_health
                .iter()
                .filter(|(_, health)| health.failing_since.is_some());
            failing.map(|(table, _)| table.clone()).collect()
        };
        for table in tables {
            self.end_table_failure(&table);
        }
    }

    /// Records a failed store call for a table. Only the first failure of an outage is logged.
    pub(crate) fn record_store_failure(&self, table: &str, error: &StoreError) {
        let now = self.now();
        let mut table_health = self.table_health.borrow_mut();
        let health = table_health.entry(table.to_owned()).or_default();
        if health.failing_since.is_none() {
            health.failing_since = Some(now);
            self.replica_changes.send_replace(());
            log::warn!(event = "dependency_lost", dependency = "store", table = table, reason:% = error; "store call failed; routes and targets may become outdated");
        }
    }

    /// Gives targets and the operator time to write again what the store has lost, as after an
    /// outage.
    pub(super) fn unsettle_store(&self) {
        let now = self.now();
        let mut table_health = self.table_health.borrow_mut();
        for table in &self.store.tables {
            let health = table_health.entry(table.clone()).or_default();
            health.recovered_at = Some(now);
        }
    }

    /// Returns the time since the store last responded, directly or through the update source, or
    /// `None` if it never did.
    pub(crate) fn time_since_store_contact(&self) -> Option<Duration> {
        let last = self.last_store_contact.get()?;
        Some(self.now().saturating_sub(last))
    }

    /// Returns whether the most recent store calls for all tables succeeded.
    pub(crate) fn is_store_available(&self) -> bool {
        let table_health = self.table_health.borrow();
        table_health
            .values()
            .all(|health| health.failing_since.is_none())
    }

    /// Returns whether the store has been reachable for [`SETTLE_TIME`], so that targets have had
    /// time to renew rows that expired during an outage.
    pub(crate) fn is_store_settled(&self) -> bool {
        self.store_settles_at() <= self.now()
    }

    /// Returns when the store has been, or will have been, reachable for [`SETTLE_TIME`], if it
    /// stays so from now on.
    pub(crate) fn store_settles_at(&self) -> Duration {
        let now = self.now();
        let table_health = self.table_health.borrow();
        let times = table_health.values().map(|health| {
            if health.failing_since.is_some() {
                return now + SETTLE_TIME;
            }
            let recovered_at = health.recovered_at;
            recovered_at.map_or(Duration::ZERO, |at| at + SETTLE_TIME)
        });
        times.max().unwrap_or_default()
    }

    /// Returns whether this VM has routes and targets, without which it cannot serve requests.
    #[must_use]
    pub fn has_routes_and_targets(&self) -> bool {
        self.route_table().version() > 0 && !self.catalog.borrow().is_empty()
    }

    /// Records that this VM is registered, so that the other VMs can discover it.
    pub(crate) fn record_registration(&self) {
        self.is_registered.set(true);
    }

    /// Returns whether this VM accepts new callers. It waits until the other VMs can discover it:
    /// if it lost the store before that, nobody would tell it of changes.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_registered = self.is_registered.get() || self.now() >= MAX_REGISTRATION_WAIT;
        is_registered && self.has_routes_and_targets() && self.leaving_since().is_none()
    }

    /// Returns the time at which this VM began to leave, or `None` if it is not leaving.
    #[must_use]
    pub fn leaving_since(&self) -> Option<Duration> {
        *self.leaving.borrow()
    }

    /// Returns a receiver that is notified when this VM begins to leave.
    pub(crate) fn watch_leaving(&self) -> watch::Receiver<Option<Duration>> {
        self.leaving.subscribe()
    }

    /// Returns the gossip socket, or `None` before it is open.
    pub(crate) fn socket(&self) -> Option<Rc<crate::peers::Socket>> {
        self.socket.borrow().clone()
    }

    /// Sets the gossip socket once it is open.
    pub(crate) fn set_socket(&self, socket: Rc<crate::peers::Socket>) {
        *self.socket.borrow_mut() = Some(socket);
    }

    /// Marks this VM as leaving, so that callers and peers send it no new requests.
    pub(crate) fn leave(&self) {
        self.leaving.send_replace(Some(self.now()));
        self.member_view().leave();
    }
}

/// Returns the membership record of this VM at its start.
fn local_member(settings: &Settings) -> Member {
    Member {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        peer: settings.peers.to_string(),
        caller: settings.callers.to_string(),
        boot_ms: Clock::unix_time_ms(),
        beat: 0,
        status: Status::Alive,
        control: Revision::default(),
    }
}

/// Returns a duration in whole milliseconds.
pub(crate) fn duration_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
