//! All targets and zone evacuations, each at its newest store version.

use {
    crate::{Target, TargetState},
    std::time::Duration,
    wire::Map,
};

/// Delay before a deletion right after a store outage takes effect. Such a deletion may only be
/// the expiry of a lease that a live target could not renew during the outage.
const DELETION_GRACE: Duration = Duration::from_millis(1700);
/// Time after the end of an evacuation during which all targets of the zone count as cold,
/// because some may have cooled down without reporting it.
const EVACUATION_WARMUP: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct Entry {
    version: u64,
    /// `None` if the row is deleted or invalid.
    target: Option<Target>,
    cold_until: Duration,
    /// When a pending deletion takes effect.
    delete_at: Option<Duration>,
}

#[derive(Debug, Clone, Copy)]
struct Evacuation {
    version: u64,
    is_active: bool,
    /// Time of the last change; used only once the evacuation has ended.
    changed_at: Duration,
}

/// The targets by identifier and the evacuations by zone.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    entries: Map<String, Entry>,
    evacuations: Map<String, Evacuation>,
}

impl Catalog {
    /// Inserts or replaces a target. Returns false if `version` is not newer than the known
    /// one.
    pub fn upsert(&mut self, target: Target, version: u64, now: Duration) -> bool {
        if !self.is_newer(&target.id, version) {
            return false;
        }
        let known = self.entries.get(&target.id);
        let is_same_process = known
            .and_then(|entry| entry.target.as_ref())
            .is_some_and(|t| {
                t.started_at_ms == target.started_at_ms && t.address == target.address
            });
        let reported_cold_until = now + target.warmup_left;
        let cold_until = match known {
            Some(entry) if is_same_process && target.warmup_left.is_zero() => {
                entry.cold_until.min(now)
            }
            _ => reported_cold_until,
        };
        let id = target.id.clone();
        let entry = Entry {
            version,
            target: Some(target),
            cold_until,
            delete_at: None,
        };
        self.insert(id, entry);
        true
    }

    /// Removes a target whose row was deleted or has become invalid. Returns false if `version`
    /// is not newer than the known one.
    ///
    /// With `after_outage`, the store has only just become available again. The deletion is then
    /// delayed, since a live target may still register again.
    pub fn remove(&mut self, id: &str, version: u64, after_outage: bool, now: Duration) -> bool {
        if !self.is_newer(id, version) {
            return false;
        }
        let known = self.entries.get(id).cloned();
        let entry = match known {
            Some(mut entry) if after_outage && entry.target.is_some() => {
                entry.version = version;
                entry.delete_at = Some(now + DELETION_GRACE);
                entry
            }
            _ => Entry {
                version,
                target: None,
                cold_until: now,
                delete_at: None,
            },
        };
        self.insert(id.to_owned(), entry);
        true
    }

    /// Starts or ends the evacuation of a zone. Returns false if `version` is not newer than
    /// the known one.
    pub fn set_evacuation(
        &mut self,
        zone: &str,
        is_active: bool,
        version: u64,
        now: Duration,
    ) -> bool {
        let known = self.evacuations.get(zone);
        if known.is_some_and(|known| known.version >= version) {
            return false;
        }
        let evacuation = Evacuation {
            version,
            is_active,
            changed_at: now,
        };
        self.evacuations.insert(zone.to_owned(), evacuation);
        true
    }

    /// Applies the delayed deletions that are due and returns the identifiers of their targets.
    pub fn expire_deletions(&mut self, now: Duration) -> Vec<String> {
        let mut expired = Vec::new();
        for (id, entry) in &mut self.entries {
            if entry.delete_at.is_some_and(|at| at <= now) {
                entry.delete_at = None;
                entry.target = None;
                expired.push(id.clone());
            }
        }
        expired
    }

    /// Marks a target as cold for at least the given time, which is reported by the target or
    /// assumed. Does nothing if the target is unknown.
    pub fn mark_cold(&mut self, id: &str, warmup_left: Duration, now: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.cold_until = entry.cold_until.max(now + warmup_left);
        }
    }

    /// Returns the targets of a service that may receive new requests, in no particular order.
    pub fn usable_targets<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        let targets = self
            .entries
            .values()
            .filter_map(|entry| entry.target.as_ref());
        targets.filter(move |target| {
            target.state == TargetState::Ready
                && target.service == service
                && !self.is_evacuated(&target.zone)
        })
    }

    /// Returns whether the target exists and may receive new requests.
    #[must_use]
    pub fn is_usable(&self, id: &str) -> bool {
        let target = self.get(id);
        target.is_some_and(|t| t.state == TargetState::Ready && !self.is_evacuated(&t.zone))
    }

    /// Returns the target with the given identifier.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.entries.get(id)?.target.as_ref()
    }

    /// Returns whether the target is cold or may be; true for an unknown target.
    #[must_use]
    pub fn is_cold(&self, id: &str, now: Duration) -> bool {
        let Some(entry) = self.entries.get(id) else {
            return true;
        };
        let evacuation = entry
            .target
            .as_ref()
            .and_then(|t| self.evacuations.get(&t.zone));
        let is_zone_warming_up =
            evacuation.is_some_and(|e| !e.is_active && now < e.changed_at + EVACUATION_WARMUP);
        now < entry.cold_until || is_zone_warming_up
    }

    /// Returns whether the zone is evacuated, so that its targets receive no new requests.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations
            .get(zone)
            .is_some_and(|evacuation| evacuation.is_active)
    }

    /// Returns the number of targets, including draining ones.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.values().filter(|e| e.target.is_some()).count()
    }

    /// Returns whether there are no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.values().all(|entry| entry.target.is_none())
    }

    /// Returns all targets, in no particular order.
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
