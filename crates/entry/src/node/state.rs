//! Mutable state of a node.

use {
    super::{LookupIndex, PoolKey, PoolState, Proximity, RefusalLog, rate_limits},
    control::Replica,
    member::View,
    settings::Fleet,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    steer::{LoadReports, Quarantine, RegionTable, RetryBudget},
    wire::{Document, Kind, Map, Member, Revision},
};

/// Number of probed members that suffices for a VM to trust its document without contact
/// to the platform.
const SUFFICIENT_PROBES: usize = 24;

/// Everything that changes while the process runs, guarded by one lock.
pub(crate) struct State {
    pub(crate) fleet: Fleet,
    /// Regions of the client address blocks.
    pub(crate) client_regions: RegionTable,
    /// Local replica of the control document.
    pub(crate) replica: Replica,
    /// Membership as this VM sees it.
    pub(crate) view: View,
    pub(crate) pools: BTreeMap<PoolKey, PoolState>,
    pub(crate) reports: LoadReports,
    pub(crate) quarantine: Quarantine,
    /// Retry budgets, keyed by service.
    pub(crate) retry_budgets: Map<String, RetryBudget>,
    /// Ticket of the request that was queued last.
    pub(crate) last_ticket: u64,
    pub(crate) last_tick_at: Duration,
    /// Time at which the platform last returned the control document; zero if never.
    pub(crate) platform_contact_at: Duration,
    pub(crate) stopping: bool,
    /// Requests in flight, for which a graceful shutdown waits.
    pub(crate) in_flight: u32,
    /// Members probed since the start, whether or not they responded.
    pub(crate) probed_members: BTreeSet<String>,
    /// Sequence number of the last load reports.
    pub(crate) report_sequence: u64,
    pub(crate) lookup_index: LookupIndex,
    pub(crate) refusals: RefusalLog,
    /// View generation and document version for which owners were last assigned.
    assigned_versions: (u64, u64),
}

impl State {
    /// Creates the state with the pools of the fleet settings, without a document.
    pub(crate) fn new(fleet: Fleet, view: View) -> Self {
        let mut state = Self {
            client_regions: RegionTable::from_blocks(&fleet.client_blocks),
            pools: BTreeMap::new(),
            fleet,
            replica: Replica::default(),
            view,
            reports: LoadReports::default(),
            quarantine: Quarantine::default(),
            retry_budgets: Map::default(),
            last_ticket: 0,
            last_tick_at: Duration::ZERO,
            platform_contact_at: Duration::ZERO,
            stopping: false,
            in_flight: 0,
            probed_members: BTreeSet::new(),
            report_sequence: 0,
            lookup_index: LookupIndex::default(),
            refusals: RefusalLog::default(),
            assigned_versions: (u64::MAX, u64::MAX),
        };
        state.pools = build_pools(&state.fleet);
        state
    }

    /// Applies a control document if it is newer than the current one. Returns whether
    /// it was.
    pub(crate) fn adopt_document(&mut self, document: &Document, now: Duration) -> bool {
        if !self.replica.adopt(document) {
            return false;
        }
        self.view
            .set_control_revision(Revision::new(0, document.version));
        self.apply_document(now);
        true
    }

    /// Applies new fleet settings. Returns `false` and changes nothing if they differ in
    /// pools or targets, which requires a restart of the process.
    pub(crate) fn reload_fleet(&mut self, fleet: &Fleet, now: Duration) -> bool {
        let has_same_targets = |key: &PoolKey, new: &PoolState| {
            let current = self.pools.get(key);
            current.is_some_and(|current| current.targets == new.targets)
        };
        let pools = build_pools(fleet);
        let is_unchanged = pools.len() == self.pools.len()
            && pools.iter().all(|(key, new)| has_same_targets(key, new));
        if !is_unchanged {
            return false;
        }
        self.client_regions = RegionTable::from_blocks(&fleet.client_blocks);
        self.fleet = fleet.clone();
        self.apply_document(now);
        true
    }

    /// Applies the rate limits and leaving marks of the current document to all pools.
    fn apply_document(&mut self, now: Duration) {
        let Some(document) = self.replica.current().cloned() else {
            return;
        };
        let fleet = &self.fleet;
        let mut region_slots: Map<String, u32> = Map::default();
        for pool_state in self.pools.values() {
            *region_slots.entry(pool_state.region.clone()).or_default() += pool_state.slots();
        }
        for (key, pool_state) in &mut self.pools {
            let slots = (pool_state.slots(), region_slots[&pool_state.region]);
            let limits = rate_limits::rate_limits(fleet, &document, key, &pool_state.region, slots);
            pool_state.pool.set_rate_limits(&limits);
            for (index, target) in pool_state.targets.iter().enumerate() {
                let leaving =
                    control::is_leaving(&document, &key.service, &target.zone, &target.name);
                pool_state.pool.set_leaving(index, leaving, now);
            }
        }
        self.advance_pools(now);
    }

    /// Assigns the pool owners if the membership or the document has changed, then
    /// completes overdue takeovers and grants free slots.
    pub(crate) fn advance_pools(&mut self, now: Duration) {
        let current = (self.view.generation(), self.replica.version());
        if self.assigned_versions != current {
            self.assigned_versions = current;
            self.assign_owners(now);
            self.rebuild_lookup_index(now);
        }
        for pool_state in self.pools.values_mut() {
            pool_state.complete_overdue_takeover(now);
            pool_state.grant_slots(now);
        }
    }

    /// Assigns an owner to each pool from the serving members that are not marked as
    /// leaving, or from all serving members if every one of them is marked.
    fn assign_owners(&mut self, now: Duration) {
        let fleet = &self.fleet;
        let local_vm = self.view.local_member().name.clone();
        let leaving = leaving_vms(self.replica.current());
        let all_serving = self.view.serving_members();
        let is_staying = |member: &&Member| !leaving.contains(&member.name.as_str());
        let mut serving: Vec<&Member> = all_serving.iter().copied().filter(is_staying).collect();
        if serving.is_empty() {
            serving = all_serving;
        }
        let proximity = Proximity::new(fleet, &serving);
        for (key, pool_state) in &mut self.pools {
            let name = steer::pool_name(&key.service, &key.site);
            let candidates = || proximity.members_with_tier(pool_state.site_index);
            let owner = member::select_owner(&name, candidates());
            let former_owner = member::select_owner(
                &name,
                candidates().filter(|(member, _)| member.name != local_vm),
            );
            let name_of = |member: Option<&Member>| member.map(|member| member.name.clone());
            let (owner, former_owner) = (name_of(owner), name_of(former_owner));
            pool_state.set_owner(owner.as_deref(), former_owner.as_deref(), &local_vm, now);
        }
    }

    /// Rebuilds the whole lookup index.
    fn rebuild_lookup_index(&mut self, now: Duration) {
        let mut lookup_index = LookupIndex::default();
        lookup_index.update_vms(self);
        lookup_index.update_site_selectors(self, now);
        self.lookup_index = lookup_index;
    }

    /// Rebuilds the site selectors of the lookup index from the current expected waits.
    pub(crate) fn refresh_site_selectors(&mut self, now: Duration) {
        let mut lookup_index = std::mem::take(&mut self.lookup_index);
        lookup_index.update_site_selectors(self, now);
        self.lookup_index = lookup_index;
    }

    /// Whether this VM has a control document that it can trust: since the start, the
    /// platform has returned the document, or enough members have been probed for theirs.
    pub(crate) fn has_current_document(&self) -> bool {
        let peer_count = self.view.members().len() - 1;
        self.replica.version() > 0
            && (self.platform_contact_at > Duration::ZERO
                || self.probed_members.len() >= peer_count.min(SUFFICIENT_PROBES))
    }

    /// Returns the names of the former owners that must be notified of a takeover.
    pub(crate) fn owners_to_notify(&self) -> BTreeSet<String> {
        let names = self.pools.values().filter_map(PoolState::owner_to_notify);
        names.map(str::to_owned).collect()
    }

    /// Completes the takeover of all pools whose former owner is `name`.
    pub(crate) fn mark_notified(&mut self, name: &str, now: Duration) {
        for pool_state in self.pools.values_mut() {
            pool_state.mark_notified(name, now);
        }
    }

    /// Returns the retry budget of a service, creating it if it does not exist.
    pub(crate) fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        self.retry_budgets.entry(service.to_owned()).or_default()
    }
}

/// Returns the names of the VMs that operators have marked as leaving.
pub(crate) fn leaving_vms(document: Option<&Document>) -> Vec<&str> {
    let marks = document.map(|document| document.marks.as_slice());
    let vms = marks.unwrap_or_default().iter();
    let vms = vms.filter(|mark| mark.kind == Kind::Vm);
    vms.map(|mark| mark.name.as_str()).collect()
}

/// Creates a pool for each service in each site that has targets of the service.
fn build_pools(fleet: &Fleet) -> BTreeMap<PoolKey, PoolState> {
    let mut pools = BTreeMap::new();
    for service in &fleet.services {
        for (index, site) in fleet.sites.iter().enumerate() {
            let site_targets = service
                .targets
                .iter()
                .filter(|target| site.zones.contains(&target.zone));
            let targets: Vec<settings::Target> = site_targets.cloned().collect();
            if targets.is_empty() {
                continue;
            }
            let key = PoolKey {
                service: service.name.clone(),
                site: site.name.clone(),
            };
            pools.insert(key, PoolState::new(index, &site.region, targets));
        }
    }
    pools
}
