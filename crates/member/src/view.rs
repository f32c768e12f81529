//! One VM's view of all VMs.

use {
    std::{collections::BTreeMap, time::Duration},
    wire::{Member, Status},
};

/// How fast a member that does not answer is given up.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time for a suspected member to show that it is alive.
    pub gone_after: Duration,
    /// Time after which a gone member is forgotten.
    pub forget_after: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            gone_after: Duration::from_secs(2),
            forget_after: Duration::from_mins(2),
        }
    }
}

/// Times that a record is sent along, for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 4;

#[derive(Debug, Clone)]
struct Known {
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
    me: Member,
    others: BTreeMap<String, Known>,
    timing: Timing,
    heard_at: Duration,
    next_probe: String,
    generation: u64,
}

impl View {
    /// Starts with this VM alone.
    #[must_use]
    pub fn new(me: Member, timing: Timing) -> Self {
        Self {
            // VMs that start together begin with different members.
            next_probe: me.name.clone(),
            me,
            others: BTreeMap::new(),
            timing,
            heard_at: Duration::ZERO,
            generation: 0,
        }
    }

    /// This VM as others shall see it.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// States the version of the control document that is in force here.
    pub fn set_control(&mut self, version: u64) {
        self.me.control = version;
    }

    /// Tells others that this VM takes no new work.
    pub fn leave(&mut self) {
        self.me.status = Status::Leaving;
        self.me.beat += 1;
        self.generation += 1;
    }

    /// Takes a peer's own record, heard from itself.
    pub fn heard(&mut self, from: &Member, now: Duration) {
        self.heard_at = now;
        let known = self.others.get_mut(&from.name);
        match known {
            Some(known) if same_life(&known.member, from) => {
                known.member.control = known.member.control.max(from.control);
            }
            _ => self.take(from, now),
        }
    }

    /// Takes records that a peer passed on.
    pub fn merge(&mut self, members: &[Member], now: Duration) {
        for member in members {
            self.take(member, now);
        }
    }

    /// Takes a member from a list that lags: only the unknown are added.
    pub fn introduce(&mut self, member: &Member, now: Duration) {
        if member.name != self.me.name && !self.others.contains_key(&member.name) {
            self.insert(member.clone(), now);
        }
    }

    /// Notes that a member answered neither this VM nor the helpers it asked.
    pub fn fail(&mut self, name: &str, now: Duration) {
        let Some(known) = self.others.get_mut(name) else {
            return;
        };
        if matches!(known.member.status, Status::Alive | Status::Leaving) {
            known.member.status = Status::Suspect;
            known.since = now;
            known.sends = 0;
            self.generation += 1;
        }
    }

    /// Gives up suspects that did not show up, and forgets the long gone.
    pub fn tick(&mut self, now: Duration) {
        let timing = self.timing;
        for known in self.others.values_mut() {
            let quiet = now.saturating_sub(known.since);
            if known.member.status == Status::Suspect && quiet >= timing.gone_after {
                known.member.status = Status::Gone;
                known.since = now;
                known.sends = 0;
                self.generation += 1;
            }
        }
        let forgotten = |known: &Known| {
            let quiet = now.saturating_sub(known.since);
            known.member.status == Status::Gone && quiet >= timing.forget_after
        };
        self.others.retain(|_, known| !forgotten(known));
    }

    /// After a pause of this process, its suspicions are no evidence.
    pub fn resume(&mut self, now: Duration) {
        for known in self.others.values_mut() {
            if known.member.status == Status::Suspect {
                known.since = now;
            }
        }
    }

    /// The member to probe next, in turn; the gone are probed too, so that two
    /// halves of a cut fleet find each other again.
    pub fn next_probe(&mut self) -> Option<Member> {
        let after = (
            std::ops::Bound::Excluded(self.next_probe.clone()),
            std::ops::Bound::Unbounded,
        );
        let next = self.others.range(after).next();
        let next = next.or_else(|| self.others.iter().next());
        let member = next.map(|(_, known)| known.member.clone())?;
        self.next_probe.clone_from(&member.name);
        Some(member)
    }

    /// Whether a record of that name is held.
    #[must_use]
    pub fn knows(&self, name: &str) -> bool {
        self.others.contains_key(name)
    }

    /// Members other than this VM that are not given up.
    #[must_use]
    pub fn peers(&self) -> Vec<&Member> {
        let others = self.others.values().map(|known| &known.member);
        others.filter(|m| m.status != Status::Gone).collect()
    }

    /// Members that take new work, this VM included, in the order of their names.
    #[must_use]
    pub fn serving(&self) -> Vec<&Member> {
        let mut out: Vec<&Member> = self
            .others
            .values()
            .map(|known| &known.member)
            .filter(|member| matches!(member.status, Status::Alive | Status::Suspect))
            .collect();
        if self.me.status == Status::Alive {
            out.push(&self.me);
        }
        out.sort_by(|a, b| a.name.cmp(&b.name));
        out
    }

    /// Whether a member is known and not doubted.
    #[must_use]
    pub fn is_alive(&self, name: &str) -> bool {
        let known = self.others.get(name);
        let status = known.map(|known| known.member.status);
        let own = name == self.me.name;
        own || status == Some(Status::Alive)
    }

    /// Every record.
    #[must_use]
    pub fn all(&self) -> Vec<&Member> {
        let others = self.others.values().map(|known| &known.member);
        std::iter::once(&self.me).chain(others).collect()
    }

    /// Records that changed lately, the least told first, at most `most`.
    pub fn news(&mut self, most: usize) -> Vec<Member> {
        let doublings = self.others.len().next_power_of_two().ilog2() + 1;
        let enough = doublings * SENDS_PER_DOUBLING;
        let fresh = self
            .others
            .values_mut()
            .filter(|known| known.sends < enough);
        let mut fresh: Vec<&mut Known> = fresh.collect();
        fresh.sort_by_key(|known| known.sends);
        let mut out = Vec::new();
        for known in fresh.into_iter().take(most) {
            known.sends += 1;
            out.push(known.member.clone());
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
    pub fn heard_at(&self) -> Duration {
        self.heard_at
    }

    fn take(&mut self, member: &Member, now: Duration) {
        if member.name == self.me.name {
            self.refute(member);
            return;
        }
        match self.others.get(&member.name) {
            Some(known) if !newer(member, &known.member) => {}
            None if member.status == Status::Gone => {}
            _ => self.insert(member.clone(), now),
        }
    }

    fn insert(&mut self, member: Member, now: Duration) {
        let known = Known {
            member,
            since: now,
            sends: 0,
        };
        self.others.insert(known.member.name.clone(), known);
        self.generation += 1;
    }

    /// Another VM suspects this one: a higher counter settles it.
    fn refute(&mut self, said: &Member) {
        let doubted = matches!(said.status, Status::Suspect | Status::Gone);
        if doubted && said.boot_ms == self.me.boot_ms && said.beat >= self.me.beat {
            self.me.beat = said.beat + 1;
        }
    }
}

/// Whether two records are of one incarnation with the same news.
fn same_life(a: &Member, b: &Member) -> bool {
    (a.boot_ms, a.beat, a.status) == (b.boot_ms, b.beat, b.status)
}

/// Whether `a` replaces `b`: a later start, a higher counter, then a worse status.
fn newer(a: &Member, b: &Member) -> bool {
    (a.boot_ms, a.beat, rank(a.status)) > (b.boot_ms, b.beat, rank(b.status))
}

fn rank(status: Status) -> u8 {
    match status {
        Status::Alive => 0,
        Status::Leaving => 1,
        Status::Suspect => 2,
        Status::Gone => 3,
    }
}
