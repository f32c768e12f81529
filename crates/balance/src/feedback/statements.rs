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
    /// A limit of so many requests per second came into force, in place of another or of none.
    Limited(f64),
    /// The target stated a limit that cannot be read; what was in force before still is.
    Unreadable,
    /// The target no longer states a limit.
    Unlimited,
}

/// What one target stated.
#[derive(Debug, Clone, Default)]
struct Entry {
    rate_limit: Option<RateLimit>,
    /// Paces what this VM sends to the target while it has a limit.
    bucket: Option<TokenBucket>,
    /// Until when the VM that sends to the target has no room for requests of this one.
    full_until: Duration,
    reported_at: Option<Duration>,
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
    /// A response without a limit ends the one in force only if that was last stated
    /// [`MIN_HOLD`] ago, and before the request was sent: responses of different connections arrive
    /// in any order.
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
        let is_reported_recently = entry
            .reported_at
            .is_some_and(|at| now.saturating_sub(at) < REPORT_INTERVAL);
        if is_reported_recently {
            return None;
        }
        entry.reported_at = Some(now);
        Some(change)
    }

    /// Returns the rate limit that is in force for a target.
    #[must_use]
    pub fn rate_limit(&self, target: &str) -> Option<&RateLimit> {
        self.by_target.get(target)?.rate_limit.as_ref()
    }

    /// Returns what a VM that hears of this target from this one has to know.
    #[must_use]
    pub fn feedback(&self, target: &str) -> Feedback {
        let limit = self.rate_limit(target);
        Feedback {
            rate_limit: limit.map_or(Field::Absent, |limit| Field::Stated(limit.requests_per_s)),
            ..Feedback::default()
        }
    }

    /// Returns the time until this VM may send a request to the target that `ahead` others
    /// precede; zero for a target without a limit.
    #[must_use]
    pub fn time_until_room(&self, target: &str, ahead: f64, now: Duration) -> Duration {
        let entry = self.by_target.get(target);
        let bucket = entry.and_then(|entry| entry.bucket.as_ref());
        bucket.map_or(Duration::ZERO, |bucket| bucket.time_until_room(ahead, now))
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

    /// Returns the time until the VM that sends to a limited target is expected to have room; zero
    /// if it is not known to have none.
    #[must_use]
    pub fn full_for(&self, target: &str, now: Duration) -> Duration {
        let entry = self.by_target.get(target);
        entry.map_or(Duration::ZERO, |entry| entry.full_until.saturating_sub(now))
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
    fn end_limit(&mut self) {
        self.rate_limit = None;
        self.bucket = None;
        self.full_until = Duration::ZERO;
    }

    fn apply(&mut self, stated: Field<f64>, sent_at: Duration, now: Duration) -> Option<Change> {
        match stated {
            Field::Unreadable => Some(Change::Unreadable),
            Field::Absent => {
                let known = self.rate_limit.as_ref()?;
                let is_held = now.saturating_sub(known.stated_at) < MIN_HOLD;
                if is_held || sent_at < known.stated_at {
                    return None;
                }
                self.end_limit();
                Some(Change::Unlimited)
            }
            Field::Stated(requests_per_s) => {
                match &mut self.bucket {
                    Some(bucket) => bucket.set_limit(requests_per_s, now),
                    None => self.bucket = Some(TokenBucket::new(requests_per_s, now)),
                }
                let known = self.rate_limit.as_ref();
                #[allow(clippy::float_cmp, reason = "both are parsed from a header")]
                let is_unchanged = known.is_some_and(|k| k.requests_per_s == requests_per_s);
                self.rate_limit = Some(RateLimit {
                    requests_per_s,
                    since: known.map_or(now, |known| known.since),
                    stated_at: now,
                    source: Source::Target,
                });
                (!is_unchanged).then_some(Change::Limited(requests_per_s))
            }
        }
    }
}
