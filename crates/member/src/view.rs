//! One VM's view of all VMs.

use {
    std::{collections::BTreeMap, time::Duration},
    wire::{Member, Status},
};

/// How fast a member that does not answer is given up.
#[derive(Debug, Clone, Copy)]
pub struct Timeouts {
    /// Time for a suspected member to show that it is alive.
    pub suspicion_timeout: Duration,
    /// Time after which a gone member is forgotten.
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

/// Times that a record is sent along, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 4;

#[derive(Debug, Clone)]
struct Record {
    member: Member,
    /// When the status last changed.
    since: Duration,
    sends: u32,
}

/// All members that this VM knows, itself included.
///
/// Only changes are passed on, so the cost of a quiet fleet does not grow with
/// its size. Times are durations since the start of the process.
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
    /// Starts with this VM alone.
    #[must_use]
    pub fn new(local: Member, timeouts: Timeouts) -> Self {
        Self {
            // VMs that start together begin with different members.
            last_probed: local.name.clone(),
            local,
            others: BTreeMap::new(),
            timeouts,
            last_contact_at: Duration::ZERO,
            generation: 0,
        }
    }

    /// This VM as others shall see it.
    #[must_use]
    pub fn local_member(&self) -> &Member {
        &self.local
    }

    /// States the version of the control document that is in force here.
    pub fn set_control_version(&mut self, version: u64) {
        self.local.control = version;
    }

    /// Tells others that this VM takes no new work.
    pub fn leave(&mut self) {
        self.local.status = Status::Leaving;
        self.local.beat += 1;
        self.generation += 1;
    }

    /// Takes a peer's own record, heard from itself.
    pub fn record_contact(&mut self, from: &Member, now: Duration) {
        self.last_contact_at = now;
        let record = self.others.get_mut(&from.name);
        match record {
            Some(record) if is_same_version(&record.member, from) => {
                record.member.control = record.member.control.max(from.control);
            }
            _ => self.merge_record(from, now),
        }
    }

    /// Takes records that a peer passed on.
    pub fn merge(&mut self, members: &[Member], now: Duration) {
        for member in members {
            self.merge_record(member, now);
        }
    }

    /// Takes a member from a list that lags: only the unknown are added.
    pub fn add_unknown(&mut self, member: &Member, now: Duration) {
        if member.name != self.local.name && !self.others.contains_key(&member.name) {
            self.insert(member.clone(), now);
        }
    }

    /// Notes that a member answered neither this VM nor the helpers it asked.
    pub fn mark_suspect(&mut self, name: &str, now: Duration) {
        let Some(record) = self.others.get_mut(name) else {
            return;
        };
        if matches!(record.member.status, Status::Alive | Status::Leaving) {
            record.member.status = Status::Suspect;
            record.since = now;
            record.sends = 0;
            self.generation += 1;
        }
    }

    /// Gives up suspects that did not show up, and forgets the long gone.
    pub fn tick(&mut self, now: Duration) {
        let timeouts = self.timeouts;
        for record in self.others.values_mut() {
            let elapsed = now.saturating_sub(record.since);
            if record.member.status == Status::Suspect && elapsed >= timeouts.suspicion_timeout {
                record.member.status = Status::Gone;
                record.since = now;
                record.sends = 0;
                self.generation += 1;
            }
        }
        let is_forgotten = |record: &Record| {
            let elapsed = now.saturating_sub(record.since);
            record.member.status == Status::Gone && elapsed >= timeouts.gone_retention
        };
        self.others.retain(|_, record| !is_forgotten(record));
    }

    /// After a pause of this process, its suspicions are no evidence.
    pub fn restart_suspicion_timers(&mut self, now: Duration) {
        for record in self.others.values_mut() {
            if record.member.status == Status::Suspect {
                record.since = now;
            }
        }
    }

    /// The member to probe next, in turn; the gone are probed too, so that two
    /// halves of a cut fleet find each other again.
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

    /// Whether a record of that name is held.
    #[must_use]
    pub fn contains(&self, name: &str) -> bool {
        self.others.contains_key(name)
    }

    /// Members other than this VM that are not given up.
    #[must_use]
    pub fn peers(&self) -> Vec<&Member> {
        let others = self.others.values().map(|record| &record.member);
        others.filter(|m| m.status != Status::Gone).collect()
    }

    /// Members that take new work, this VM included, in the order of their names.
    #[must_use]
    pub fn serving(&self) -> Vec<&Member> {
        let mut out: Vec<&Member> = self
            .others
            .values()
            .map(|record| &record.member)
            .filter(|member| matches!(member.status, Status::Alive | Status::Suspect))
            .collect();
        if self.local.status == Status::Alive {
            out.push(&self.local);
        }
        out.sort_by(|a, b| a.name.cmp(&b.name));
        out
    }

    /// Whether a member is known and not doubted.
    #[must_use]
    pub fn is_alive(&self, name: &str) -> bool {
        let record = self.others.get(name);
        let status = record.map(|record| record.member.status);
        let own = name == self.local.name;
        own || status == Some(Status::Alive)
    }

    /// Every record.
    #[must_use]
    pub fn members(&self) -> Vec<&Member> {
        let others = self.others.values().map(|record| &record.member);
        std::iter::once(&self.local).chain(others).collect()
    }

    /// Records that changed lately, the least told first, at most `max_records`.
    pub fn take_updates(&mut self, max_records: usize) -> Vec<Member> {
        let doublings = self.others.len().next_power_of_two().ilog2() + 1;
        let max_sends = doublings * SENDS_PER_DOUBLING;
        let pending = self
            .others
            .values_mut()
            .filter(|record| record.sends < max_sends);
        let mut pending: Vec<&mut Record> = pending.collect();
        pending.sort_by_key(|record| record.sends);
        let mut out = Vec::new();
        for record in pending.into_iter().take(max_records) {
            record.sends += 1;
            out.push(record.member.clone());
        }
        out
    }

    /// Raised whenever the set of members or a status changes.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// When a peer was last heard directly.
    #[must_use]
    pub fn last_contact_at(&self) -> Duration {
        self.last_contact_at
    }

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
            since: now,
            sends: 0,
        };
        self.others.insert(record.member.name.clone(), record);
        self.generation += 1;
    }

    /// Another VM suspects this one: a higher counter settles it.
    fn refute(&mut self, report: &Member) {
        let is_suspected = matches!(report.status, Status::Suspect | Status::Gone);
        if is_suspected && report.boot_ms == self.local.boot_ms && report.beat >= self.local.beat {
            self.local.beat = report.beat + 1;
        }
    }
}

/// Whether two records are of one incarnation with the same news.
fn is_same_version(a: &Member, b: &Member) -> bool {
    (a.boot_ms, a.beat, a.status) == (b.boot_ms, b.beat, b.status)
}

/// Whether `a` replaces `b`: a later start, a higher counter, then a worse status.
fn supersedes(a: &Member, b: &Member) -> bool {
    (a.boot_ms, a.beat, status_rank(a.status)) > (b.boot_ms, b.beat, status_rank(b.status))
}

fn status_rank(status: Status) -> u8 {
    match status {
        Status::Alive => 0,
        Status::Leaving => 1,
        Status::Suspect => 2,
        Status::Gone => 3,
    }
}
