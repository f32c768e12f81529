//! All targets, evacuated zones, and the order of changes.

use {
    crate::{State, Target},
    std::time::Duration,
    wire::Map,
};

/// A deletion that may only mean that the target could not renew its entry while
/// the store was away is put into effect after this time.
const LAPSE_GRACE: Duration = Duration::from_millis(1700);
/// Time for which a zone that was evacuated may hold targets that went cold without saying so.
const EVACUATION_RAMP: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct Entry {
    version: u64,
    /// `None` for a row that is deleted or cannot be read.
    target: Option<Target>,
    cold_until: Duration,
    /// Set for a deletion that is not yet in effect.
    gone_at: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Evacuation {
    version: u64,
    active: bool,
    ended_at: Duration,
}

/// The targets by identifier, and the zones whose targets get no work.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    entries: Map<String, Entry>,
    zones: Map<String, Evacuation>,
}

impl Catalog {
    /// Takes an entry that the store holds since `version`. Returns whether it was news.
    pub fn upsert(&mut self, target: Target, version: u64, now: Duration) -> bool {
        if !self.is_newer(&target.id, version) {
            return false;
        }
        let known = self.entries.get(&target.id);
        let same_start = known
            .and_then(|entry| entry.target.as_ref())
            .is_some_and(|t| {
                t.started_at_ms == target.started_at_ms && t.address == target.address
            });
        let told = now + target.warmup_left;
        let cold_until = match known {
            Some(entry) if same_start && target.warmup_left.is_zero() => entry.cold_until.min(now),
            _ => told,
        };
        let id = target.id.clone();
        let entry = Entry {
            version,
            target: Some(target),
            cold_until,
            gone_at: None,
        };
        self.insert(id, entry);
        true
    }

    /// Takes a deletion, or a row that names no usable target.
    ///
    /// `lapsed` says that the store was away until just now, so that the deletion may be
    /// followed by a new entry of a target that is alive.
    pub fn remove(&mut self, id: &str, version: u64, lapsed: bool, now: Duration) -> bool {
        if !self.is_newer(id, version) {
            return false;
        }
        let known = self.entries.get(id).cloned();
        let entry = match known {
            Some(mut entry) if lapsed && entry.target.is_some() => {
                entry.version = version;
                entry.gone_at = Some(now + LAPSE_GRACE);
                entry
            }
            _ => Entry {
                version,
                target: None,
                cold_until: now,
                gone_at: None,
            },
        };
        self.insert(id.to_owned(), entry);
        true
    }

    /// Takes the start or the end of a zone's evacuation.
    pub fn set_evacuation(
        &mut self,
        zone: &str,
        active: bool,
        version: u64,
        now: Duration,
    ) -> bool {
        let known = self.zones.get(zone);
        if known.is_some_and(|known| known.version >= version) {
            return false;
        }
        let evacuation = Evacuation {
            version,
            active,
            ended_at: now,
        };
        self.zones.insert(zone.to_owned(), evacuation);
        true
    }

    /// Puts deletions into effect whose grace has passed, and returns their targets.
    pub fn expire_deletions(&mut self, now: Duration) -> Vec<String> {
        let mut expired = Vec::new();
        for (id, entry) in &mut self.entries {
            if entry.gone_at.is_some_and(|at| at <= now) {
                entry.gone_at = None;
                entry.target = None;
                expired.push(id.clone());
            }
        }
        expired
    }

    /// Marks a target as cold for a time that it told itself, or that is assumed of it.
    pub fn mark_cold(&mut self, id: &str, left: Duration, now: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.cold_until = entry.cold_until.max(now + left);
        }
    }

    /// Targets of a service that may get new work.
    pub fn usable_targets<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        let targets = self
            .entries
            .values()
            .filter_map(|entry| entry.target.as_ref());
        targets.filter(move |target| {
            target.service == service
                && target.state == State::Ready
                && !self.is_evacuated(&target.zone)
        })
    }

    /// Whether the target still is one, and may get new work.
    #[must_use]
    pub fn is_usable(&self, id: &str) -> bool {
        let target = self.get(id);
        target.is_some_and(|t| t.state == State::Ready && !self.is_evacuated(&t.zone))
    }

    /// The target of that identifier.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.entries.get(id)?.target.as_ref()
    }

    /// Whether the target is cold, or may be.
    #[must_use]
    pub fn is_cold(&self, id: &str, now: Duration) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return true;
        };
        let zone = entry.target.as_ref().and_then(|t| self.zones.get(&t.zone));
        let ramp = zone.is_some_and(|z| !z.active && now < z.ended_at + EVACUATION_RAMP);
        now < entry.cold_until || ramp
    }

    /// Whether work is kept away from the zone.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|zone| zone.active)
    }

    /// Number of targets, those that drain included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.values().filter(|e| e.target.is_some()).count()
    }

    /// Whether there is no target.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Every target, in no order.
    pub fn targets(&self) -> impl Iterator<Item = &Target> {
        self.entries.values().filter_map(|e| e.target.as_ref())
    }

    fn is_newer(&self, id: &str, version: u64) -> bool {
        self.entries
            .get(id)
            .is_none_or(|entry| entry.version < version)
    }

    fn insert(&mut self, id: String, entry: Entry) {
        self.entries.insert(id, entry);
    }
}
