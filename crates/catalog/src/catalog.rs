//! All targets and zone evacuations, each at its newest store revision.

use {
    crate::{Target, TargetState, evacuation::Evacuation, target::Report},
    std::time::Duration,
    wire::{Map, Revision},
};

/// Longest delay before a deletion right after a store outage takes effect. Such a deletion may
/// only be the expiry of a lease that a live target could not renew during the outage, or a row
/// that the store lost and that a live target writes again.
const DELETION_GRACE: Duration = Duration::from_millis(1700);
/// Time after the end of an evacuation during which all targets of the zone count as cold,
/// because some may have cooled down without reporting it.
const EVACUATION_WARMUP: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct Entry {
    revision: Revision,
    /// `None` if the row is deleted or invalid.
    target: Option<Target>,
    /// The last report of the target, also after the row was deleted.
    last_report: Option<Report>,
    cold_until: Duration,
    /// When a pending deletion takes effect.
    delete_at: Option<Duration>,
    /// When the first row of the target's process was applied.
    process_known_since: Duration,
    /// When a row brought the process back into service, if one did.
    back_at: Option<Duration>,
    /// When the process last stated that it leaves, unless it is back in service since.
    leaving_at: Option<Duration>,
}

impl Entry {
    /// Returns the target if it may receive new requests, its zone aside.
    fn usable_target(&self) -> Option<&Target> {
        let is_usable = |t: &&Target| t.state == TargetState::Ready && self.leaving_at.is_none();
        self.target.as_ref().filter(is_usable)
    }

    /// Returns whether a row of the known process brings it back into service. One that is only
    /// renewed does not: the store may not have been told that the target leaves.
    fn is_brought_back_by(&self, next: &Target) -> bool {
        let state = self.target.as_ref().map(|target| target.state);
        state == Some(TargetState::Draining) && next.state == TargetState::Ready
    }

    /// Returns whether a row of another era holds an older state of the target than the one that
    /// is known: the store lost the newer one, and the target writes it again if it lives.
    ///
    /// Of a target that has left, any report of the same process is older: the store counts reports
    /// that change nothing else without telling of them.
    fn outdates(&self, target: &Target, revision: Revision) -> bool {
        if self.revision.era() == revision.era() {
            return false;
        }
        let has_left = self.target.is_none();
        let report = target.report();
        self.last_report
            .is_some_and(|last| report < last || (has_left && report.is_of_same_process(last)))
    }
}

/// The targets by identifier and the evacuations by zone.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    entries: Map<String, Entry>,
    evacuations: Map<String, Evacuation>,
}

impl Catalog {
    /// Inserts or replaces a target. Returns false if `revision` is not newer than the known one,
    /// or if the row holds an older report of the target, from before the store was restored
    /// from a snapshot.
    pub fn upsert(&mut self, target: Target, revision: Revision, now: Duration) -> bool {
        if !self.is_newer(&target.id, revision) {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(&target.id)
            && entry.outdates(&target, revision)
        {
            entry.revision = revision;
            entry.delete_at = None;
            return false;
        }
        let known = self.entries.get(&target.id);
        let continued = known.filter(|entry| {
            let target_before = entry.target.as_ref();
            target_before.is_some_and(|before| is_same_process(before, &target))
        });
        let reported_cold_until = now + target.warmup_left;
        let cold_until = match continued {
            Some(entry) if target.warmup_left.is_zero() => entry.cold_until.min(now),
            _ => reported_cold_until,
        };
        let (back_at, leaving_at) = match continued {
            Some(entry) if entry.is_brought_back_by(&target) => (Some(now), None),
            Some(entry) => (entry.back_at, entry.leaving_at),
            None => (None, None),
        };
        let process_known_since = continued.map_or(now, |entry| entry.process_known_since);
        let id = target.id.clone();
        let entry = Entry {
            revision,
            last_report: Some(target.report()),
            target: Some(target),
            cold_until,
            delete_at: None,
            process_known_since,
            back_at,
            leaving_at,
        };
        self.insert(id, entry);
        true
    }

    /// Removes a target whose row was deleted or has become invalid. Returns false if `revision`
    /// is not newer than the known one.
    ///
    /// With `settled_at`, the store has only just become available again. The deletion is then
    /// delayed, at most until that time, since a live target may still register again.
    pub fn remove(
        &mut self,
        id: &str,
        revision: Revision,
        settled_at: Option<Duration>,
        now: Duration,
    ) -> bool {
        if !self.is_newer(id, revision) {
            return false;
        }
        let known = self.entries.get(id).cloned();
        let entry = match (known, settled_at) {
            (Some(mut entry), Some(settled_at)) if entry.target.is_some() => {
                entry.revision = revision;
                entry.delete_at = Some(settled_at.min(now + DELETION_GRACE));
                entry
            }
            (known, _) => Entry {
                revision,
                target: None,
                last_report: known.and_then(|entry| entry.last_report),
                cold_until: now,
                delete_at: None,
                process_known_since: now,
                back_at: None,
                leaving_at: None,
            },
        };
        self.insert(id.to_owned(), entry);
        true
    }

    /// Returns whether the known row of a target is of another era.
    #[must_use]
    pub fn is_of_other_era(&self, id: &str, era: u64) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.revision.era() != era)
    }

    /// Starts or ends the evacuation of a zone. Returns false if `revision` is not newer than the
    /// known one, or if the change takes effect later, because the store may have lost a newer
    /// one.
    pub fn set_evacuation(
        &mut self,
        zone: &str,
        is_active: bool,
        revision: Revision,
        now: Duration,
    ) -> bool {
        if let Some(known) = self.evacuations.get_mut(zone) {
            return known.update(is_active, revision, now);
        }
        let evacuation = Evacuation::new(is_active, revision, now);
        self.evacuations.insert(zone.to_owned(), evacuation);
        true
    }

    /// Applies the changes of evacuations that were delayed and are due. Returns their zones, each
    /// with whether it is evacuated now.
    pub fn settle_evacuations(&mut self, now: Duration) -> Vec<(String, bool)> {
        let mut settled = Vec::new();
        for (zone, evacuation) in &mut self.evacuations {
            if evacuation.settle(now) {
                settled.push((zone.clone(), evacuation.is_active()));
            }
        }
        settled
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

    /// Records that the known process of a target stated at `stated_at` that it leaves, so that it
    /// receives no new requests until it restarts, or its row says that it drains and then that it is
    /// ready again. Returns whether it received some before.
    pub fn mark_leaving(&mut self, id: &str, stated_at: Duration) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.back_at.is_some_and(|back_at| stated_at < back_at) {
            return false;
        }
        let is_new = entry.leaving_at.is_none();
        entry.leaving_at = entry.leaving_at.max(Some(stated_at));
        is_new
    }

    /// Returns whether a request that was sent at `sent_at` can have reached the known process of a
    /// target.
    #[must_use]
    pub fn is_of_known_process(&self, id: &str, sent_at: Duration) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| sent_at >= entry.process_known_since)
    }

    /// Returns whether the target stated that it leaves.
    #[must_use]
    pub fn is_leaving(&self, id: &str) -> bool {
        let entry = self.entries.get(id);
        entry.is_some_and(|entry| entry.leaving_at.is_some())
    }

    /// Returns the targets that stated that they leave, each with when it did so last.
    pub fn leaving_targets(&self) -> impl Iterator<Item = (&Target, Duration)> {
        let entries = self.entries.values();
        entries.filter_map(|entry| Some((entry.target.as_ref()?, entry.leaving_at?)))
    }

    /// Returns the targets of a service that may receive new requests, in no particular order.
    pub fn usable_targets<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        let targets = self.entries.values().filter_map(Entry::usable_target);
        targets.filter(move |target| target.service == service && !self.is_evacuated(&target.zone))
    }

    /// Returns whether the target exists and may receive new requests.
    #[must_use]
    pub fn is_usable(&self, id: &str) -> bool {
        let target = self.entries.get(id).and_then(Entry::usable_target);
        target.is_some_and(|target| !self.is_evacuated(&target.zone))
    }

    /// Returns the target with the given identifier.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.entries.get(id)?.target.as_ref()
    }

    /// Returns the revision of the newest row of a target, also of one that was deleted.
    #[must_use]
    pub fn row_revision(&self, id: &str) -> Option<Revision> {
        self.entries.get(id).map(|entry| entry.revision)
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
        let since_end = evacuation.and_then(|evacuation| evacuation.time_since_end(now));
        let is_zone_warming_up = since_end.is_some_and(|time| time < EVACUATION_WARMUP);
        now < entry.cold_until || is_zone_warming_up
    }

    /// Returns whether the zone is evacuated, so that its targets receive no new requests.
    #[must_use]
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations
            .get(zone)
            .is_some_and(Evacuation::is_active)
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

    fn is_newer(&self, id: &str, revision: Revision) -> bool {
        self.entries
            .get(id)
            .is_none_or(|entry| entry.revision < revision)
    }

    fn insert(&mut self, id: String, entry: Entry) {
        self.entries.insert(id, entry);
    }
}

/// Returns whether two rows are of the same process of a target.
fn is_same_process(a: &Target, b: &Target) -> bool {
    (a.started_at_ms, a.address) == (b.started_at_ms, b.address)
}
