//! Elects the VMs of a zone that watch the store, and the one from which each other VM receives
//! its rows.
//!
//! Calls to the store thus do not grow with the number of VMs, also while it is away: only a few
//! standbys take the place of watchers that cannot reach it. The other VMs wait for rows that these
//! or VMs of other zones pass on.

use {
    crate::rendezvous_weight,
    std::{cmp::Reverse, time::Duration},
    wire::Map,
};

/// Number of VMs per watcher of the store, the watcher included.
const VMS_PER_WATCHER: usize = 40;
/// Number of VMs that may watch in place of watchers that do not have the store's rows.
const MAX_STANDBYS: usize = 3;
/// Time for which a source that cannot be reached is passed over.
const UNREACHABLE_TIME: Duration = Duration::from_secs(3);
/// Time for which a source that does not have the store's rows is passed over at first; doubled each
/// time.
const MIN_UNINFORMED_TIME: Duration = Duration::from_millis(200);
const MAX_UNINFORMED_TIME: Duration = Duration::from_millis(1600);

/// How a VM receives the rows of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role<'a> {
    /// It watches the store itself.
    Watcher,
    /// It receives them from this VM.
    Follower(&'a str),
    /// No VM that may watch the store has its rows. It waits until one has, or until another VM is
    /// heard to have newer rows.
    Waiting,
}

/// Why a VM cannot receive rows from a source.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Loss {
    /// The source does not respond. This says nothing of the store.
    Unreachable,
    /// The source does not receive rows from the store itself.
    Uninformed,
}

#[derive(Debug, Clone, Copy)]
struct Exclusion {
    loss: Loss,
    until: Duration,
    time: Duration,
}

/// The possible sources of rows of one VM: the live VMs of its zone.
#[derive(Debug, Clone, Default)]
pub struct Sources {
    own_name: String,
    /// The live VMs of the zone, this one included, those that are to watch first.
    ranked: Vec<String>,
    excluded: Map<String, Exclusion>,
}

impl Sources {
    /// Replaces the live VMs of the zone. `others` are those without this one.
    pub fn set_vms<'a>(&mut self, own_name: &str, others: impl IntoIterator<Item = &'a str>) {
        let mut ranked: Vec<String> = others.into_iter().map(str::to_owned).collect();
        ranked.push(own_name.to_owned());
        ranked.sort_by_cached_key(|name| Reverse(rendezvous_weight("store", name)));
        self.excluded.retain(|name, _| ranked.contains(name));
        own_name.clone_into(&mut self.own_name);
        self.ranked = ranked;
    }

    /// Returns how this VM receives rows. VMs that know the same others, and have lost none,
    /// agree on the watchers.
    #[must_use]
    pub fn role(&self, now: Duration) -> Role<'_> {
        let watcher_count = self.ranked.len().div_ceil(VMS_PER_WATCHER);
        let reachable = self.ranked.iter().map(String::as_str);
        let reachable = reachable.filter(|name| self.loss(name, now) != Some(Loss::Unreachable));
        let candidates = reachable.take(watcher_count + MAX_STANDBYS);
        let informed = candidates.filter(|name| self.loss(name, now).is_none());
        let watchers: Vec<&str> = informed.take(watcher_count).collect();
        if watchers.contains(&self.own_name.as_str()) {
            return Role::Watcher;
        }
        let source = watchers
            .into_iter()
            .max_by_key(|name| rendezvous_weight(&self.own_name, name));
        source.map_or(Role::Waiting, Role::Follower)
    }

    /// Records that a source sent rows that it has from the store.
    pub fn record_success(&mut self, source: &str) {
        self.excluded.remove(source);
    }

    /// Records that a source was lost. It is passed over for a while.
    pub fn record_loss(&mut self, source: &str, loss: Loss, now: Duration) {
        let previous = self.excluded.get(source).copied();
        let previous = previous.filter(|previous| previous.loss == loss);
        let time = match (loss, previous) {
            (Loss::Unreachable, _) => UNREACHABLE_TIME,
            (Loss::Uninformed, None) => MIN_UNINFORMED_TIME,
            // The calls for other tables have reported the same.
            (Loss::Uninformed, Some(previous)) if now < previous.until => return,
            (Loss::Uninformed, Some(previous)) => (previous.time * 2).min(MAX_UNINFORMED_TIME),
        };
        let until = now + time;
        let exclusion = Exclusion { loss, until, time };
        self.excluded.insert(source.to_owned(), exclusion);
    }

    fn loss(&self, name: &str, now: Duration) -> Option<Loss> {
        let exclusion = self.excluded.get(name)?;
        (now < exclusion.until).then_some(exclusion.loss)
    }
}
