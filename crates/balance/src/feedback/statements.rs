//! The statements of targets that are in force on this VM.

use {
    super::{Feedback, Field, token_bucket::TokenBucket},
    std::time::Duration,
    wire::Map,
};

/// Changes of one target's statements within this time are reported once.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// A limit holds for this long after it was last stated, even if a response lacks it.
const MIN_HOLD: Duration = Duration::from_secs(1);
/// A statement passed on by a VM replaces a known one only if it is newer by more than this, which
/// covers the time that it was on the way.
const GOSSIP_MARGIN: Duration = Duration::from_millis(200);
/// The end of a limit is passed on for this long.
const END_RETENTION: Duration = Duration::from_secs(10);

/// From whom this VM has a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Source {
    /// A response of the target, which may have been relayed by another VM.
    Target,
    /// The VM of this name.
    Vm(String),
}

/// Limit on the requests that a target accepts from all VMs together.
#[derive(Debug, Clone, PartialEq)]
pub struct RateLimit {
    /// Requests per second.
    pub requests_per_s: f64,
    /// When the target first stated a limit without having withdrawn it since.
    pub since: Duration,
    /// When this limit was last stated.
    pub stated_at: Duration,
    /// Who told this VM.
    pub source: Source,
}

/// A change of what is in force for a target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Change {
    /// A limit of so many requests per second came into force, where there was none.
    Limited(f64),
    /// A limit of so many requests per second replaced another.
    Adjusted(f64),
    /// The target no longer states a limit.
    Unlimited,
}

/// A statement as VMs pass it on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gossip<'a> {
    /// Identifier of the target.
    pub target: &'a str,
    /// Requests per second, or `None` if the target no longer states a limit.
    pub limit_per_s: Option<f64>,
    /// When the target made the statement.
    pub stated_at: Duration,
}

/// What one target stated.
#[derive(Debug, Clone, Default)]
struct Entry {
    rate_limit: Option<RateLimit>,
    /// When the target made its last known statement, or no longer made one.
    stated_at: Duration,
    /// When this VM last passed the statement on.
    gossiped_at: Option<Duration>,
    /// Paces what this VM sends to the target while it has a limit.
    bucket: Option<TokenBucket>,
    /// Until when the VM that sends to the target has no room for requests of this one.
    full_until: Duration,
    /// Until when the target wants no requests from this VM.
    rest_until: Duration,
    reported_at: Option<Duration>,
    unreadable_reported_at: Option<Duration>,
}

/// The statements of all targets. Those of a target are forgotten when it restarts.
#[derive(Debug, Clone, Default)]
pub struct Statements {
    by_target: Map<String, Entry>,
}

impl Statements {
    /// Takes over what a response states about a rate limit. `sent_at` is when the request was
    /// sent. Returns the change, unless one of this target was returned shortly before.
    ///
    /// A response without a limit ends the one in force only if that was last stated some time ago,
    /// and before the request was sent: responses of different connections arrive in any order.
    pub fn record_rate_limit(
        &mut self,
        target: &str,
        stated: Field<f64>,
        sent_at: Duration,
        now: Duration,
    ) -> Option<Change> {
        if stated == Field::Absent && !self.by_target.contains_key(target) {
            return None;
        }
        let entry = self.by_target.entry(target.to_owned()).or_default();
        let change = entry.apply(stated, sent_at, now)?;
        entry.report(change, now)
    }

    /// Records that a target wants no requests from this VM for a time. Returns whether it wanted
    /// some before.
    pub fn record_rest(&mut self, target: &str, rest: Duration, now: Duration) -> bool {
        let entry = self.by_target.entry(target.to_owned()).or_default();
        let is_new = entry.rest_until <= now && !rest.is_zero();
        entry.rest_until = entry.rest_until.max(now.saturating_add(rest));
        is_new
    }

    /// Returns for how long a target still wants no requests from this VM.
    #[must_use]
    pub fn rest_left(&self, target: &str, now: Duration) -> Duration {
        let entry = self.by_target.get(target);
        entry.map_or(Duration::ZERO, |entry| entry.rest_until.saturating_sub(now))
    }

    /// Returns whether a target states a rate limit, or wants no requests from this VM now.
    #[must_use]
    pub fn is_restricted(&self, target: &str, now: Duration) -> bool {
        let entry = self.by_target.get(target);
        entry.is_some_and(|entry| entry.rate_limit.is_some() || now < entry.rest_until)
    }

    /// Returns whether an unreadable statement of a target may be reported now: once in a while.
    pub fn may_report_unreadable(&mut self, target: &str, now: Duration) -> bool {
        let entry = self.by_target.entry(target.to_owned()).or_default();
        may_report(&mut entry.unreadable_reported_at, now)
    }

    /// Takes over what the VM `from` passed on, if it is newer than what is known. Returns the
    /// change, unless one of this target was returned shortly before.
    pub fn merge(&mut self, gossip: &Gossip<'_>, from: &str, now: Duration) -> Option<Change> {
        let known = self.by_target.get(gossip.target);
        let is_newer = known.is_none_or(|known| gossip.stated_at > known.stated_at + GOSSIP_MARGIN);
        if !is_newer || (known.is_none() && gossip.limit_per_s.is_none()) {
            return None;
        }
        let entry = self.by_target.entry(gossip.target.to_owned()).or_default();
        let source = Source::Vm(from.to_owned());
        let change = match gossip.limit_per_s {
            Some(limit_per_s) => entry.set_limit(limit_per_s, gossip.stated_at, source, now),
            None => entry.end_limit(gossip.stated_at),
        };
        entry.report(change?, now)
    }

    /// Returns up to `max_count` statements to pass on, those first that were not for longest.
    pub fn take_gossip(&mut self, max_count: usize, now: Duration) -> Vec<Gossip<'_>> {
        let entries = self.by_target.iter_mut();
        let mut due: Vec<(&String, &mut Entry)> = entries
            .filter(|(_, entry)| entry.is_worth_telling(now))
            .collect();
        due.sort_by_key(|(_, entry)| entry.gossiped_at);
        due.truncate(max_count);
        let mut taken = Vec::with_capacity(due.len());
        for (target, entry) in due {
            entry.gossiped_at = Some(now);
            taken.push(Gossip {
                target,
                limit_per_s: entry.rate_limit.as_ref().map(|limit| limit.requests_per_s),
                stated_at: entry.stated_at,
            });
        }
        taken
    }

    /// Returns the rate limit that is in force for a target.
    #[must_use]
    pub fn rate_limit(&self, target: &str) -> Option<&RateLimit> {
        self.by_target.get(target)?.rate_limit.as_ref()
    }

    /// Returns what a VM that hears of this target from this one has to know.
    #[must_use]
    pub fn feedback(&self, target: &str, now: Duration) -> Feedback {
        let limit = self.rate_limit(target);
        let rest = self.rest_left(target, now);
        Feedback {
            rest: if rest.is_zero() {
                Field::Absent
            } else {
                Field::Stated(rest)
            },
            rate_limit: limit.map_or(Field::Absent, |limit| Field::Stated(limit.requests_per_s)),
            ..Feedback::default()
        }
    }

    /// Returns the time until this VM may send a request to the target that `ahead` others
    /// precede; zero for a target that neither has a limit nor rests.
    #[must_use]
    pub fn time_until_room(&self, target: &str, ahead: f64, now: Duration) -> Duration {
        let Some(entry) = self.by_target.get(target) else {
            return Duration::ZERO;
        };
        let bucket = entry.bucket.as_ref();
        let pace = bucket.map_or(Duration::ZERO, |bucket| bucket.time_until_room(ahead, now));
        pace.max(entry.rest_until.saturating_sub(now))
    }

    /// Counts a request that this VM sends to the target itself.
    pub fn record_send(&mut self, target: &str, now: Duration) {
        let entry = self.by_target.get_mut(target);
        if let Some(bucket) = entry.and_then(|entry| entry.bucket.as_mut()) {
            bucket.withdraw(now);
        }
    }

    /// Records that the VM that sends to a limited target has no room before `until`.
    pub fn record_full(&mut self, target: &str, until: Duration) {
        let entry = self.by_target.get_mut(target);
        if let Some(entry) = entry.filter(|entry| entry.rate_limit.is_some()) {
            entry.full_until = until;
        }
    }

    /// Returns the time until another VM is expected to have room for requests to a target that has
    /// a limit or rests; zero if it is not known to have none.
    #[must_use]
    pub fn full_for(&self, target: &str, now: Duration) -> Duration {
        let Some(entry) = self.by_target.get(target) else {
            return Duration::ZERO;
        };
        let until = entry.full_until.max(entry.rest_until);
        until.saturating_sub(now)
    }

    /// Returns the number of targets with a rate limit.
    #[must_use]
    pub fn limited_count(&self) -> u32 {
        let entries = self.by_target.values();
        let count = entries.filter(|entry| entry.rate_limit.is_some()).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Forgets what a target stated, as it has restarted.
    pub fn clear(&mut self, target: &str) {
        self.by_target.remove(target);
    }

    /// Forgets the targets for which `is_known` returns false.
    pub fn retain_targets(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_target.retain(|id, _| is_known(id));
    }
}

impl Entry {
    /// Returns the change, unless one was returned shortly before.
    fn report(&mut self, change: Change, now: Duration) -> Option<Change> {
        may_report(&mut self.reported_at, now).then_some(change)
    }

    /// Returns whether other VMs may not know the statement: a limit, or one that ended recently. They
    /// know one from before the start of this process, whose age is not known here.
    fn is_worth_telling(&self, now: Duration) -> bool {
        let age = now.saturating_sub(self.stated_at);
        !self.stated_at.is_zero() && (self.rate_limit.is_some() || age < END_RETENTION)
    }

    /// Brings a limit into force. Returns the change, if the limit is another than before.
    fn set_limit(
        &mut self,
        requests_per_s: f64,
        stated_at: Duration,
        source: Source,
        now: Duration,
    ) -> Option<Change> {
        match &mut self.bucket {
            Some(bucket) => bucket.set_limit(requests_per_s, now),
            None => self.bucket = Some(TokenBucket::new(requests_per_s, now)),
        }
        let known = self.rate_limit.as_ref();
        #[allow(clippy::float_cmp, reason = "both are parsed from the same text")]
        let change = match known {
            None => Some(Change::Limited(requests_per_s)),
            Some(known) if known.requests_per_s == requests_per_s => None,
            Some(_) => Some(Change::Adjusted(requests_per_s)),
        };
        self.stated_at = stated_at;
        self.rate_limit = Some(RateLimit {
            requests_per_s,
            since: known.map_or(now, |known| known.since),
            stated_at,
            source,
        });
        change
    }

    fn end_limit(&mut self, stated_at: Duration) -> Option<Change> {
        self.stated_at = stated_at;
        self.bucket = None;
        self.full_until = Duration::ZERO;
        self.rate_limit.take().map(|_| Change::Unlimited)
    }

    fn apply(&mut self, stated: Field<f64>, sent_at: Duration, now: Duration) -> Option<Change> {
        match stated {
            Field::Unreadable => None,
            Field::Stated(limit_per_s) => self.set_limit(limit_per_s, now, Source::Target, now),
            Field::Absent => {
                let known = self.rate_limit.as_ref()?;
                let is_held = now.saturating_sub(known.stated_at) < MIN_HOLD;
                if is_held || sent_at < known.stated_at {
                    return None;
                }
                self.end_limit(now)
            }
        }
    }
}

/// Returns whether the last report was made [`REPORT_INTERVAL`] ago, and notes a new one if so.
fn may_report(reported_at: &mut Option<Duration>, now: Duration) -> bool {
    let is_recent = |at: Duration| now.saturating_sub(at) < REPORT_INTERVAL;
    let may_report = !reported_at.is_some_and(is_recent);
    if may_report {
        *reported_at = Some(now);
    }
    may_report
}
