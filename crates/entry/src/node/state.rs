//! The part of a node that changes.

use {
    super::{Directory, Owned, Places, PoolKey, Refusals, Reports, fleet},
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
    pub(crate) atlas: RegionTable,
    pub(crate) replica: Replica,
    pub(crate) view: View,
    pub(crate) pools: BTreeMap<PoolKey, Owned>,
    pub(crate) reports: Reports,
    pub(crate) quarantine: Quarantine,
    pub(crate) budgets: Map<String, RetryBudget>,
    pub(crate) next_ticket: u64,
    pub(crate) last_tick: Duration,
    pub(crate) store_heard_at: Duration,
    pub(crate) stopping: bool,
    pub(crate) in_flight: u32,
    /// Members that were probed since the start, whether they answered or not.
    pub(crate) probed: BTreeSet<String>,
    pub(crate) report_beat: u64,
    pub(crate) directory: Directory,
    pub(crate) refusals: Refusals,
    /// View and document for which the owners were last worked out.
    assigned_for: (u64, u64),
}

impl State {
    pub(crate) fn new(fleet: Fleet, view: View) -> Self {
        let mut state = Self {
            atlas: RegionTable::from_blocks(&fleet.client_blocks),
            pools: BTreeMap::new(),
            fleet,
            replica: Replica::default(),
            view,
            reports: Reports::default(),
            quarantine: Quarantine::default(),
            budgets: Map::default(),
            next_ticket: 0,
            last_tick: Duration::ZERO,
            store_heard_at: Duration::ZERO,
            stopping: false,
            in_flight: 0,
            probed: BTreeSet::new(),
            report_beat: 0,
            directory: Directory::default(),
            refusals: Refusals::default(),
            assigned_for: (u64::MAX, u64::MAX),
        };
        state.pools = build_pools(&state.fleet);
        state
    }

    /// Puts a document in force if it is newer, and says whether it was.
    pub(crate) fn adopt(&mut self, document: &Document, now: Duration) -> bool {
        if !self.replica.adopt(document) {
            return false;
        }
        self.view.set_control_version(document.version);
        self.enforce(now);
        true
    }

    /// Puts new fleet settings in force; false when they move targets, which needs
    /// a restart of the process.
    pub(crate) fn reload(&mut self, fleet: &Fleet, now: Duration) -> bool {
        let same = |key: &PoolKey, new: &Owned| {
            let held = self.pools.get(key);
            held.is_some_and(|held| held.targets == new.targets)
        };
        let pools = build_pools(fleet);
        let unmoved = pools.len() == self.pools.len() && pools.iter().all(|(k, o)| same(k, o));
        if !unmoved {
            return false;
        }
        self.atlas = RegionTable::from_blocks(&fleet.client_blocks);
        self.fleet = fleet.clone();
        self.enforce(now);
        true
    }

    /// Applies marks and caps of the document in force to all pools.
    fn enforce(&mut self, now: Duration) {
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
            let limits = fleet::limits(fleet, &document, key, &owned.region, part);
            owned.pool.set_rate_limits(&limits);
            for (index, target) in owned.targets.iter().enumerate() {
                let leaving =
                    control::is_leaving(&document, &key.service, &target.zone, &target.name);
                owned.pool.set_leaving(index, leaving, now);
            }
        }
        self.advance(now);
    }

    /// Lets the queues move, and works out who owns each pool if that may have changed.
    pub(crate) fn advance(&mut self, now: Duration) {
        let current = (self.view.generation(), self.replica.version());
        if self.assigned_for != current {
            self.assigned_for = current;
            self.assign(now);
            self.publish(now);
        }
        for owned in self.pools.values_mut() {
            owned.take_over_overdue(now);
            owned.grant_waiting(now);
        }
    }

    fn assign(&mut self, now: Duration) {
        let fleet = &self.fleet;
        let me = self.view.local_member().name.clone();
        let marked = marked_vms(self.replica.current());
        let all = self.view.serving();
        let unmarked = |member: &&Member| !marked.contains(&member.name.as_str());
        let mut serving: Vec<&Member> = all.iter().copied().filter(unmarked).collect();
        if serving.is_empty() {
            serving = all;
        }
        let places = Places::of(fleet, &serving);
        for (key, owned) in &mut self.pools {
            let name = steer::pool_name(&key.service, &key.site);
            let near = || places.members(owned.site);
            let owner = member::select_owner(&name, near());
            let former =
                member::select_owner(&name, near().filter(|(member, _)| member.name != me));
            let named = |member: Option<&Member>| member.map(|member| member.name.clone());
            let (owner, former) = (named(owner), named(former));
            owned.set_owner(owner.as_deref(), former.as_deref(), &me, now);
        }
    }

    /// Works look-up answers out anew.
    fn publish(&mut self, now: Duration) {
        let mut directory = Directory::default();
        directory.set_vms(self);
        directory.set_choices(self, now);
        self.directory = directory;
    }

    /// Works the choices among sites out anew, as waits have changed.
    pub(crate) fn refresh(&mut self, now: Duration) {
        let mut directory = std::mem::take(&mut self.directory);
        directory.set_choices(self, now);
        self.directory = directory;
    }

    /// Whether this VM may trust its document: the platform gave it one since the
    /// start, or enough members were asked for theirs.
    pub(crate) fn informed(&self) -> bool {
        let others = self.view.members().len() - 1;
        self.replica.version() > 0
            && (self.store_heard_at > Duration::ZERO
                || self.probed.len() >= others.min(ENOUGH_PROBED))
    }

    /// Former owners that have to be told of this VM.
    pub(crate) fn to_notify(&self) -> BTreeSet<String> {
        let names = self.pools.values().filter_map(Owned::to_notify);
        names.map(str::to_owned).collect()
    }

    /// Notes that a VM has been told of this one.
    pub(crate) fn notified(&mut self, name: &str, now: Duration) {
        for owned in self.pools.values_mut() {
            owned.notified(name, now);
        }
    }

    /// The retry budget of a service.
    pub(crate) fn budget(&mut self, service: &str) -> &mut RetryBudget {
        self.budgets.entry(service.to_owned()).or_default()
    }
}

/// VMs that operators marked as leaving.
pub(crate) fn marked_vms(document: Option<&Document>) -> Vec<&str> {
    let marks = document.map(|document| document.marks.as_slice());
    let vms = marks.unwrap_or_default().iter();
    let vms = vms.filter(|mark| mark.kind == Kind::Vm);
    vms.map(|mark| mark.name.as_str()).collect()
}

fn build_pools(fleet: &Fleet) -> BTreeMap<PoolKey, Owned> {
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
            pools.insert(key, Owned::new(index, &site.region, targets));
        }
    }
    pools
}
