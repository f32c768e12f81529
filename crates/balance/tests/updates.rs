//! Calls to the store at many VMs: which of them watch it, in calm and while it is away.

use {
    balance::updates::{Loss, Role, Sources},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Watchers and standbys of a zone with one watcher.
const MAX_CALLERS: usize = 4;

/// The VMs of one zone, each with its own view of the others.
struct Zone {
    names: Vec<String>,
    sources: Vec<Sources>,
}

impl Zone {
    fn new(vm_count: usize) -> Self {
        let names: Vec<String> = (0..vm_count).map(|number| format!("vm-{number}")).collect();
        let sources = names.iter().map(|own_name| {
            let mut sources = Sources::default();
            let others = names.iter().filter(|name| *name != own_name);
            sources.set_vms(own_name, others.map(String::as_str));
            sources
        });
        let sources = sources.collect();
        Self { names, sources }
    }

    /// Returns the indexes of the VMs that watch the store.
    fn watchers(&self, now: Duration) -> BTreeSet<usize> {
        let watches = |vm: &usize| self.sources[*vm].role(now) == Role::Watcher;
        (0..self.names.len()).filter(watches).collect()
    }

    /// Has each VM ask its source, which answers as `loss` says for the source, or loses it if
    /// the source does not watch.
    fn poll(&mut self, now: Duration, loss: impl Fn(usize) -> Option<Loss>) {
        let watchers = self.watchers(now);
        for vm in 0..self.names.len() {
            let Role::Follower(source) = self.sources[vm].role(now) else {
                continue;
            };
            let source = source.to_owned();
            let index = self.names.iter().position(|name| *name == source);
            let index = index.expect("a source is a VM of the zone");
            let not_watching = (!watchers.contains(&index)).then_some(Loss::Uninformed);
            match loss(index).or(not_watching) {
                Some(loss) => self.sources[vm].record_loss(&source, loss, now),
                None => self.sources[vm].record_success(&source),
            }
        }
    }
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A zone of 87 VMs, the design size, has one watcher of the store per 40 VMs, and no watcher
/// sends updates to more VMs than its bandwidth allows.
#[test]
fn large_zone_has_one_watcher_per_forty_vms() {
    let zone = Zone::new(87);

    let mut receivers: BTreeMap<&str, usize> = BTreeMap::new();
    for sources in &zone.sources {
        if let Role::Follower(source) = sources.role(at(0)) {
            *receivers.entry(source).or_default() += 1;
        }
    }

    assert_eq!(zone.watchers(at(0)).len(), 3);
    assert_eq!(receivers.len(), 3);
    // The control traffic of a VM is limited to 15 KB/s; each receiver takes 0.4 KB/s.
    assert!(
        receivers.values().all(|count| *count <= 37),
        "{receivers:?}"
    );
}

#[test]
fn small_zone_has_one_watcher() {
    assert_eq!(Zone::new(3).watchers(at(0)).len(), 1);
    assert_eq!(Zone::new(1).watchers(at(0)).len(), 1);
}

/// Guards against a herd of VMs that all ask a store of which their watcher has said that it is
/// away.
#[test]
fn few_vms_of_a_zone_ask_a_store_that_is_away() {
    let mut zone = Zone::new(33);
    let mut callers = BTreeSet::new();

    for tick in 0..100 {
        let now = at(50 * tick);
        zone.poll(now, |_| Some(Loss::Uninformed));
        callers.extend(zone.watchers(now));
    }

    assert!(callers.len() > 1, "no standby tried: {callers:?}");
    assert!(callers.len() <= MAX_CALLERS, "{callers:?}");
}

/// Guards against a herd of VMs that watch the store because their watcher died.
#[test]
fn one_standby_takes_the_place_of_a_watcher_that_died() {
    let mut zone = Zone::new(33);
    let dead = *zone.watchers(at(0)).first().expect("a watcher");

    for tick in 0..20 {
        zone.poll(at(50 * tick), |source| {
            (source == dead).then_some(Loss::Unreachable)
        });
    }

    let watchers = zone.watchers(at(1000));
    let waiting = zone.sources.iter();
    let waiting = waiting.filter(|sources| sources.role(at(1000)) == Role::Waiting);
    assert_eq!(watchers.len(), 2, "{watchers:?}");
    assert_eq!(waiting.count(), 0);
}

/// Guards against VMs that wait for others although they alone are cut off from all of them.
#[test]
fn vm_that_reaches_no_other_watches_itself() {
    let mut zone = Zone::new(33);
    let follower = (0..33).find(|vm| zone.sources[*vm].role(at(0)) != Role::Watcher);
    let sources = &mut zone.sources[follower.expect("a follower")];

    let mut now = at(0);
    while let Role::Follower(source) = sources.role(now) {
        let source = source.to_owned();
        sources.record_loss(&source, Loss::Unreachable, now);
        now += at(1);
    }

    assert_eq!(sources.role(now), Role::Watcher);
}

/// Guards against VMs that stay with a standby, or wait, after their watcher has the store again.
#[test]
fn followers_return_to_the_watcher_once_it_has_the_store_again() {
    let mut zone = Zone::new(33);
    for tick in 0..40 {
        zone.poll(at(50 * tick), |_| Some(Loss::Uninformed));
    }

    for tick in 40..80 {
        zone.poll(at(50 * tick), |_| None);
    }

    assert_eq!(zone.watchers(at(4000)).len(), 1);
}
