//! The part of a node that changes.

use {
    super::{LookupIndex, PoolKey, PoolState, Proximity, RefusalLog, Reports, rate_limits},
    control::Replica,
    member::View,
    settings::Fleet,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
    steer::{Quarantine, RegionTable, RetryBudget},
    wire::{Document, Kind, Map, Member},
};

/// Members asked for their document before a VM serves without the platform.
const ENOUGH_PROBED: usize = 24;

/// Everything that changes while the process runs, behind one lock.
pub(crate) struct State {
    pub(crate) fleet: Fleet,
    pub(crate) client_regions: RegionTable,
    pub(crate) replica: Replica,
    pub(crate) view: View,
    pub(crate) pools: BTreeMap<PoolKey, PoolState>,
    pub(crate) reports: Reports,
    pub(crate) quarantine: Quarantine,
    pub(crate) retry_budgets: Map<String, RetryBudget>,
    pub(crate) next_ticket: u64,
    pub(crate) last_tick_at: Duration,
    pub(crate) platform_contact_at: Duration,
    pub(crate) stopping: bool,
    pub(crate) in_flight: u32,
    /// Members that were probed since the start, whether they answered or not.
    pub(crate) probed_members: BTreeSet<String>,
    pub(crate) report_sequence: u64,
    pub(crate) lookup_index: LookupIndex,
    pub(crate) refusals: RefusalLog,
    /// View and document for which the owners were last worked out.
    assigned_versions: (u64, u64),
}

impl State {
    pub(crate) fn new(fleet: Fleet, view: View) -> Self {
        let mut state = Self {
            client_regions: RegionTable::from_blocks(&fleet.client_blocks),
            pools: BTreeMap::new(),
            fleet,
            replica: Replica::default(),
            view,
            reports: Reports::default(),
            quarantine: Quarantine::default(),
            retry_budgets: Map::default(),
            next_ticket: 0,
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

    /// Puts a document in force if it is newer, and says whether it was.
    pub(crate) fn adopt_document(&mut self, document: &Document, now: Duration) -> bool {
        if !self.replica.adopt(document) {
            return false;
        }
        self.view.set_control_version(document.version);
        self.apply_document(now);
        true
    }

    /// Puts new fleet settings in force; false when they move targets, which needs
    /// a restart of the process.
    pub(crate) fn reload_fleet(&mut self, fleet: &Fleet, now: Duration) -> bool {
        let same = |key: &PoolKey, new: &PoolState| {
            let held = self.pools.get(key);
            held.is_some_and(|held| held.targets == new.targets)
        };
        let pools = build_pools(fleet);
        let unmoved = pools.len() == self.pools.len() && pools.iter().all(|(k, o)| same(k, o));
        if !unmoved {
            return false;
        }
        self.client_regions = RegionTable::from_blocks(&fleet.client_blocks);
        self.fleet = fleet.clone();
        self.apply_document(now);
        true
    }

    /// Applies marks and caps of the document in force to all pools.
    fn apply_document(&mut self, now: Duration) {
        let Some(document) = self.replica.current().cloned() else {
            return;
        };
        let fleet = &self.fleet;
        let mut region_slots: Map<String, u32> = Map::default();
        for owned in self.pools.values() {
            *region_slots.entry(owned.region.clone()).or_default() += owned.slots();
        }
        for (key, owned) in &mut self.pools {
            let part = (owned.slots(), region_slots[&owned.region]);
            let limits = rate_limits::rate_limits(fleet, &document, key, &owned.region, part);
            owned.pool.set_rate_limits(&limits);
            for (index, target) in owned.targets.iter().enumerate() {
                let leaving =
                    control::is_leaving(&document, &key.service, &target.zone, &target.name);
                owned.pool.set_leaving(index, leaving, now);
            }
        }
        self.advance_pools(now);
    }

    /// Lets the queues move, and works out who owns each pool if that may have changed.
    pub(crate) fn advance_pools(&mut self, now: Duration) {
        let current = (self.view.generation(), self.replica.version());
        if self.assigned_versions != current {
            self.assigned_versions = current;
            self.assign_owners(now);
            self.rebuild_lookup_index(now);
        }
        for owned in self.pools.values_mut() {
            owned.complete_overdue_takeover(now);
            owned.grant_slots(now);
        }
    }

    fn assign_owners(&mut self, now: Duration) {
        let fleet = &self.fleet;
        let me = self.view.local_member().name.clone();
        let marked = leaving_vms(self.replica.current());
        let all = self.view.serving_members();
        let unmarked = |member: &&Member| !marked.contains(&member.name.as_str());
        let mut serving: Vec<&Member> = all.iter().copied().filter(unmarked).collect();
        if serving.is_empty() {
            serving = all;
        }
        let proximity = Proximity::of(fleet, &serving);
        for (key, owned) in &mut self.pools {
            let name = steer::pool_name(&key.service, &key.site);
            let near = || proximity.members(owned.site_index);
            let owner = member::select_owner(&name, near());
            let former_owner =
                member::select_owner(&name, near().filter(|(member, _)| member.name != me));
            let named = |member: Option<&Member>| member.map(|member| member.name.clone());
            let (owner, former_owner) = (named(owner), named(former_owner));
            owned.set_owner(owner.as_deref(), former_owner.as_deref(), &me, now);
        }
    }

    /// Works look-up answers out anew.
    fn rebuild_lookup_index(&mut self, now: Duration) {
        let mut lookup_index = LookupIndex::default();
        lookup_index.update_vms(self);
        lookup_index.update_site_selectors(self, now);
        self.lookup_index = lookup_index;
    }

    /// Works the choices among sites out anew, as waits have changed.
    pub(crate) fn refresh_site_selectors(&mut self, now: Duration) {
        let mut lookup_index = std::mem::take(&mut self.lookup_index);
        lookup_index.update_site_selectors(self, now);
        self.lookup_index = lookup_index;
    }

    /// Whether this VM may trust its document: the platform gave it one since the
    /// start, or enough members were asked for theirs.
    pub(crate) fn has_current_document(&self) -> bool {
        let others = self.view.members().len() - 1;
        self.replica.version() > 0
            && (self.platform_contact_at > Duration::ZERO
                || self.probed_members.len() >= others.min(ENOUGH_PROBED))
    }

    /// Former owners that have to be told of this VM.
    pub(crate) fn owners_to_notify(&self) -> BTreeSet<String> {
        let names = self.pools.values().filter_map(PoolState::owner_to_notify);
        names.map(str::to_owned).collect()
    }

    /// Notes that a VM has been told of this one.
    pub(crate) fn mark_notified(&mut self, name: &str, now: Duration) {
        for owned in self.pools.values_mut() {
            owned.mark_notified(name, now);
        }
    }

    /// The retry budget of a service.
    pub(crate) fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        self.retry_budgets.entry(service.to_owned()).or_default()
    }
}

/// VMs that operators marked as leaving.
pub(crate) fn leaving_vms(document: Option<&Document>) -> Vec<&str> {
    let marks = document.map(|document| document.marks.as_slice());
    let vms = marks.unwrap_or_default().iter();
    let vms = vms.filter(|mark| mark.kind == Kind::Vm);
    vms.map(|mark| mark.name.as_str()).collect()
}

fn build_pools(fleet: &Fleet) -> BTreeMap<PoolKey, PoolState> {
    let mut pools = BTreeMap::new();
    for service in &fleet.services {
        for (index, site) in fleet.sites.iter().enumerate() {
            let here = service
                .targets
                .iter()
                .filter(|t| site.zones.contains(&t.zone));
            let targets: Vec<settings::Target> = here.cloned().collect();
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
