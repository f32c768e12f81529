//! The node: the state of one VM and the handles that its tasks share.

use {
    crate::{
        Bounds, Clock, HeaderNames, LineLimit, Registration, Settings, Store, http_client::Client,
        peers::HeardStatement,
    },
    balance::{Balancer, FairShares, Reachability, RetryBudget, WarmupSenders, updates::Sources},
    catalog::{BatchCache, Catalog, EraTracker, RecordReplica},
    customer::{Freshness, Registry},
    member::{Links, Timeouts, View},
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
    /// The customers of the same configuration; `None` if no key is asked of callers.
    pub(super) customers: RefCell<Option<Rc<Registry>>>,
    /// By route, the rotation among its services.
    pub(crate) service_rotations: RefCell<Map<String, WeightedRoundRobin>>,
    pub(crate) catalog: RefCell<Catalog>,
    pub(crate) balancer: RefCell<Balancer>,
    /// Shares of the customers whose requests are in progress.
    pub(super) fair_shares: RefCell<FairShares>,
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
    /// Rates of the VMs' links, as far as they are needed and known.
    pub(crate) links: RefCell<Links>,
    /// Rows of the platform's store.
    replica: RefCell<RecordReplica>,
    /// The last encoded batches of rows for peers.
    pub(crate) batch_cache: RefCell<BatchCache>,
    /// How old the known configuration may be.
    pub(super) freshness: RefCell<Freshness>,
    /// Reachability of the store, by table.
    pub(super) table_health: RefCell<Map<String, super::TableHealth>>,
    /// When the store last responded, to this VM or to the one that it receives rows from.
    pub(super) last_store_contact: Cell<Option<Duration>>,
    /// Wakes requests of peers for rows when there may be new ones, or this VM loses the store.
    pub(super) replica_changes: watch::Sender<()>,
    pub(super) era_tracker: Cell<EraTracker>,
    /// Wakes the calls that began in an earlier era. Counts the eras that have begun.
    pub(super) era_changes: watch::Sender<u64>,
    /// The VMs from which this one may receive rows, and the generation of the member view that they
    /// are of.
    pub(crate) update_sources: RefCell<Sources>,
    pub(crate) sources_generation: Cell<Option<u64>>,
    /// Whether the other VMs can discover this one.
    is_registered: Cell<bool>,
    /// By name, when it was first seen that another VM leaves whose relayed requests wait here.
    pub(super) leaving_vms: RefCell<Map<String, Duration>>,
    /// Holds the time at which this VM began to leave.
    leaving: watch::Sender<Option<Duration>>,
    /// Lines about targets that were added, updated or removed.
    pub(super) target_lines: RefCell<LineLimit>,
    /// Whether this VM may send to each cold target.
    pub(super) warmup_senders: RefCell<WarmupSenders>,
    pub(crate) queue_owners: RefCell<super::QueueOwners>,
    /// Tokens of customers, given out and got.
    pub(crate) quotas: super::Quotas,
    /// By route and service, the targets by region.
    pub(crate) region_summaries: RefCell<Map<String, Map<String, super::RegionSummary>>>,
    /// Bytes exchanged with other VMs since the last report.
    pub(super) traffic: RefCell<super::traffic::Traffic>,
    socket: RefCell<Option<Rc<crate::peers::Socket>>>,
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
        let mut balancer = Balancer::new(settings.bounds.max_share_speed());
        balancer
            .shedding
            .activation
            .set_mode(settings.bounds.shedding);
        let kept_mode = settings.bounds.kept_connections;
        client.kept.borrow_mut().activation.set_mode(kept_mode);
        Self {
            bounds: RefCell::new(settings.bounds.clone()),
            settings,
            header_names,
            store,
            client,
            clock: Clock::start(),
            route_table: RefCell::default(),
            customers: RefCell::default(),
            service_rotations: RefCell::default(),
            catalog: RefCell::default(),
            balancer: RefCell::new(balancer),
            fair_shares: RefCell::default(),
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
            links: RefCell::default(),
            replica: RefCell::default(),
            batch_cache: RefCell::default(),
            freshness: RefCell::default(),
            table_health: RefCell::default(),
            last_store_contact: Cell::default(),
            replica_changes: watch::Sender::new(()),
            era_tracker: Cell::default(),
            era_changes: watch::Sender::new(0),
            update_sources: RefCell::default(),
            sources_generation: Cell::default(),
            is_registered: Cell::new(false),
            leaving_vms: RefCell::default(),
            leaving: watch::Sender::new(None),
            target_lines: RefCell::default(),
            warmup_senders: RefCell::default(),
            queue_owners: RefCell::default(),
            quotas: super::Quotas::default(),
            region_summaries: RefCell::default(),
            traffic: RefCell::default(),
            socket: RefCell::default(),
        }
    }

    /// Returns the bounds in force.
    pub(crate) fn bounds(&self) -> Bounds {
        self.bounds.borrow().clone()
    }

    /// Replaces the bounds in force.
    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        let mut balancer = self.balancer.borrow_mut();
        balancer.max_share_speed = bounds.max_share_speed();
        balancer.shedding.activation.set_mode(bounds.shedding);
        let mut kept = self.client.kept.borrow_mut();
        kept.activation.set_mode(bounds.kept_connections);
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

    /// Returns whether this VM has routes and targets, without which it cannot serve requests.
    #[must_use]
    pub fn has_routes_and_targets(&self) -> bool {
        self.route_table().version() > 0 && !self.catalog.borrow().is_empty()
    }

    /// Records that this VM is registered, so that the other VMs can discover it.
    pub(crate) fn record_registration(&self) {
        self.is_registered.set(true);
    }

    /// Returns whether this VM is registered, for which it has read the store's list of VMs.
    pub(super) fn is_registered(&self) -> bool {
        self.is_registered.get()
    }

    /// Returns whether this VM accepts new callers. It waits until the other VMs can discover it:
    /// if it lost the store before that, nobody would tell it of changes.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_registered = self.is_registered() || self.now() >= MAX_REGISTRATION_WAIT;
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
