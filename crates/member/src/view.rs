//! One VM's view of the cluster membership.

use {
    std::{collections::BTreeMap, time::Duration},
    wire::{Member, Revision, Status},
};

/// Timeouts for members that do not respond.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time in which a suspected member can refute the suspicion before it counts as gone.
    pub suspicion_timeout: Duration,
    /// Time after which the record of a gone member is removed.
    pub gone_retention: Duration,
}

impl Default for Timeouts {
    fn default() -> Self {
        Self {
            suspicion_timeout: Duration::from_secs(2),
            gone_retention: Duration::from_mins(2),
        }
    }
}

/// Times that a changed record is sent, per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 4;

/// The record of another member on this VM.
#[derive(Debug, Clone)]
struct Record {
    member: Member,
    /// When the status last changed.
    status_since: Duration,
    /// Times that the record was sent since it last changed.
    sends: u32,
}

/// Membership as seen by this VM, with its own record.
///
/// Gossip carries only records that changed, so its cost does not grow with the number of
/// members while nothing changes. Every `now` is a time since the start of the process.
#[derive(Debug, Clone)]
pub struct View {
    local: Member,
    others: BTreeMap<String, Record>,
    timeouts: Timeouts,
    last_contact_at: Duration,
    last_probed: String,
    generation: u64,
}

impl View {
    /// Creates a view that contains only this VM.
    #[must_use]
    pub fn new(local: Member, timeouts: Timeouts) -> Self {
        Self {
            // Each VM starts after its own name, so that VMs that start together do not all
            // probe the same member first.
            last_probed: local.name.clone(),
            local,
            others: BTreeMap::new(),
            timeouts,
            last_contact_at: Duration::ZERO,
            generation: 0,
        }
    }

    /// Returns the record of this VM that is sent to others.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// Sets the revision of the control document, or of the newest row, that this VM has.
    pub fn set_control_revision(&mut self, revision: Revision) {
        self.local.control = revision;
    }

    /// Marks this VM as leaving, so that others send it no new requests.
    pub fn leave(&mut self) {
        self.local.status = Status::Leaving;
        self.local.beat += 1;
        self.generation += 1;
    }

    /// Merges the record of a member that has just sent it itself.
    pub fn record_contact(&mut self, from: &Member, now: Duration) {
        self.last_contact_at = now;
        let record = self.others.get_mut(&from.name);
        match record {
            Some(record) if is_same_version(&record.member, from) => {
                record.member.control = record.member.control.max(from.control);
            }
            // The sender does not know what counts of it here: it is suspected or gone since a
            // partition, or has restarted with an earlier clock. It is told, and refutes it.
            Some(record) if supersedes(&record.member, from) => record.sends = 0,
            _ => self.merge_record(from, now),
        }
    }

    /// Merges records that a peer passed on. A suspicion against this VM is refuted.
    pub fn merge(&mut self, members: &[Member], now: Duration) {
        for member in members {
            self.merge_record(member, now);
        }
    }

    /// Merges all records of a peer. Those of live members are not gossiped again, as the other members
    /// get them in the same way. A suspected one has to hear of it soon.
    pub fn merge_all(&mut self, members: &[Member], now: Duration) {
        for member in members {
            self.merge_record(member, now);
            if let Some(record) = self.others.get_mut(&member.name)
                && is_same_version(&record.member, member)
                && member.status == Status::Alive
            {
                record.sends = u32::MAX;
            }
        }
    }

    /// Returns the records that a peer may take over, of one zone or of all: of the members that have
    /// been heard of themselves, and are not gone.
    #[must_use]
    pub fn records_for_peer(&self, zone: Option<&str>) -> Vec<Member> {
        let members = self.members().into_iter();
        let heard_of = members.filter(|m| m.boot_ms > 0 && m.status != Status::Gone);
        let in_zone = heard_of.filter(|m| zone.is_none_or(|zone| m.zone == zone));
        in_zone.cloned().collect()
    }

    /// Adds a member from a list that may be out of date; a known member is not changed.
    pub fn add_unknown(&mut self, member: &Member, now: Duration) {
        if member.name != self.local.name && !self.others.contains_key(&member.name) {
            self.insert(member.clone(), now);
        }
    }

    /// Suspects a member that responded neither to this VM nor to the peers asked to probe it.
    pub fn mark_suspect(&mut self, name: &str, now: Duration) {
        let Some(record) = self.others.get_mut(name) else {
            return;
        };
        if matches!(record.member.status, Status::Alive | Status::Leaving) {
            record.member.status = Status::Suspect;
            record.status_since = now;
            record.sends = 0;
            self.generation += 1;
        }
    }

    /// Marks suspects as gone after the suspicion timeout and removes members that have been
    /// gone for the retention time.
    pub fn expire_members(&mut self, now: Duration) {
        let timeouts = self.timeouts;
        for record in self.others.values_mut() {
            let elapsed = now.saturating_sub(record.status_since);
            if record.member.status == Status::Suspect && elapsed >= timeouts.suspicion_timeout {
                record.member.status = Status::Gone;
                record.status_since = now;
                record.sends = 0;
                self.generation += 1;
            }
        }
        let is_expired = |record: &Record| {
            let elapsed = now.saturating_sub(record.status_since);
            record.member.status == Status::Gone && elapsed >= timeouts.gone_retention
        };
        self.others.retain(|_, record| !is_expired(record));
    }

    /// Restarts the suspicion timeouts. Time during which this process was paused must not count
    /// against the suspects.
    pub fn restart_suspicion_timers(&mut self, now: Duration) {
        for record in self.others.values_mut() {
            if record.member.status == Status::Suspect {
                record.status_since = now;
            }
        }
    }

    /// Returns the member to probe next, in the order of their names, or `None` when there
    /// is no other member. Gone members are probed too, so that the two sides of a network
    /// partition find each other again.
    pub fn next_probe(&mut self) -> Option<Member> {
        let after = (
            std::ops::Bound::Excluded(self.last_probed.clone()),
            std::ops::Bound::Unbounded,
        );
        let next = self.others.range(after).next();
        let next = next.or_else(|| self.others.iter().next());
        let member = next.map(|(_, record)| record.member.clone())?;
        self.last_probed.clone_from(&member.name);
        Some(member)
    }

    /// Whether another member of that name is known, in any status.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.others.contains_key(name)
    }

    /// Returns the other members that are not gone.
    #[must_use]
    pub fn peers(&self) -> Vec<&Member> {
        let others = self.others.values().map(|record| &record.member);
        others
            .filter(|member| member.status != Status::Gone)
            .collect()
    }

    /// Returns the members that accept new requests, in the order of their names. Suspects
    /// are included, and so is this VM unless it is leaving.
    #[must_use]
    pub fn serving_members(&self) -> Vec<&Member> {
        let mut serving: Vec<&Member> = self
            .others
            .values()
            .map(|record| &record.member)
            .filter(|member| matches!(member.status, Status::Alive | Status::Suspect))
            .collect();
        if self.local.status == Status::Alive {
            serving.push(&self.local);
        }
        serving.sort_by(|a, b| a.name.cmp(&b.name));
        serving
    }

    /// Whether the member is known with the status alive. True for this VM itself.
    #[must_use]
    pub fn is_alive(&self, name: &str) -> bool {
        let record = self.others.get(name);
        let status = record.map(|record| record.member.status);
        let is_local = name == self.local.name;
        is_local || status == Some(Status::Alive)
    }

    /// Whether the member is known and has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, name: &str) -> bool {
        let record = self.others.get(name);
        record.is_some_and(|record| record.member.status == Status::Leaving)
    }

    /// Returns all members, this VM first.
    #[must_use]
    pub fn members(&self) -> Vec<&Member> {
        let others = self.others.values().map(|record| &record.member);
        std::iter::once(&self.local).chain(others).collect()
    }

    /// Returns at most `max_records` recently changed records to send to a peer, the least
    /// sent first, and counts them as sent.
    pub fn take_updates(&mut self, max_records: usize) -> Vec<Member> {
        let doublings = self.others.len().next_power_of_two().ilog2() + 1;
        let max_sends = doublings * SENDS_PER_DOUBLING;
        let pending = self
            .others
            .values_mut()
            .filter(|record| record.sends < max_sends);
        let mut pending: Vec<&mut Record> = pending.collect();
        pending.sort_by_key(|record| record.sends);
        let mut updates = Vec::new();
        for record in pending.into_iter().take(max_records) {
            record.sends += 1;
            updates.push(record.member.clone());
        }
        updates
    }

    /// Returns a counter that rises when a member is added or a record or status changes.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns when the last message came directly from another member; zero before the first.
    #[must_use]
    pub fn last_contact_at(&self) -> Duration {
        self.last_contact_at
    }

    /// Replaces the known record when `member` is newer.
    fn merge_record(&mut self, member: &Member, now: Duration) {
        if member.name == self.local.name {
            self.refute(member);
            return;
        }
        match self.others.get(&member.name) {
            Some(record) if !supersedes(member, &record.member) => {}
            None if member.status == Status::Gone => {}
            _ => self.insert(member.clone(), now),
        }
    }

    fn insert(&mut self, member: Member, now: Duration) {
        let record = Record {
            member,
            status_since: now,
            sends: 0,
        };
        self.others.insert(record.member.name.clone(), record);
        self.generation += 1;
    }

    /// Refutes a suspicion against this VM by raising the version of its own record (`beat`)
    /// above that of the suspicion. The record of an incarnation that seems to be newer is one from
    /// before a restart with an earlier clock; this incarnation then takes a number above it.
    fn refute(&mut self, suspicion: &Member) {
        if suspicion.boot_ms > self.local.boot_ms {
            self.local.boot_ms = suspicion.boot_ms + 1;
            self.generation += 1;
            return;
        }
        let is_suspected = matches!(suspicion.status, Status::Suspect | Status::Gone);
        if is_suspected
            && suspicion.boot_ms == self.local.boot_ms
            && suspicion.beat >= self.local.beat
        {
            self.local.beat = suspicion.beat + 1;
        }
    }
}

/// Whether two records are of the same incarnation and have the same version and status.
fn is_same_version(a: &Member, b: &Member) -> bool {
    (a.boot_ms, a.beat, a.status) == (b.boot_ms, b.beat, b.status)
}

/// Whether `a` replaces `b`: compares the incarnation (`boot_ms`), then the version of the
/// record (`beat`), then the severity of the status.
fn supersedes(a: &Member, b: &Member) -> bool {
    (a.boot_ms, a.beat, status_rank(a.status)) > (b.boot_ms, b.beat, status_rank(b.status))
}

/// Returns the severity of a status. Of two records of the same version the one with the more
/// severe status wins.
fn status_rank(status: Status) -> u8 {
    match status {
        Status::Alive => 0,
        Status::Leaving => 1,
        Status::Suspect => 2,
        Status::Gone => 3,
    }
}
