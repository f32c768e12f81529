//! Tokens of one customer that one VM gives out.

use {
    super::{Handover, Rule, Stance, succession::Claim},
    crate::RateLimit,
    std::{collections::VecDeque, time::Duration},
};

/// Time after which a VM that became owner gives out the whole limit. Until then, the previous owner
/// may still do so.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// A new owner may give out at once what the customer's rate yields in this time, as questions do not
/// come evenly.
const SUCCESSOR_BURST: Duration = Duration::from_millis(100);
/// Grants within the same interval of this length share an entry.
const ENTRY_MS: u64 = 20;
/// Time in which the number of questions that got too few tokens decays.
const BACKLOG_DECAY: Duration = Duration::from_secs(1);
/// Time after which a VM asks again that was answered by one that is not the owner, or does not know
/// its part of the limits yet.
const NOT_OWNER_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time for which a VM is the owner by a handover of the one before, until it notices itself.
const ENTRUSTED_TIME: Duration = Duration::from_secs(2);
/// Length of the intervals by which a handover tells the age of tokens, so that it fits one datagram.
const HANDOVER_ENTRY: Duration = Duration::from_millis(100);
/// Shortest time after which a VM asks again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Answer to a question for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Grant {
    /// Number of tokens, at most as many as were asked for.
    pub tokens: u32,
    /// Time until there is a further token; zero if all were given.
    pub retry_after: Duration,
    /// Whether the customer's limit is what too few tokens were given for, and not that this VM
    /// does not know what others gave.
    pub is_limited: bool,
}

/// What the owner of a customer knows of its use, for operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Usage {
    /// Tokens that count in the current window.
    pub granted: u32,
    /// Tokens that may count in it.
    pub limit: f64,
    /// Whether this VM has been the owner for long enough to give out the whole limit.
    pub is_settled: bool,
}

/// A customer's rate limit, and the configuration that states it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Entitlement {
    /// Rate limit over all VMs together.
    pub limit: RateLimit,
    /// Version of the configuration. Of two, the limit of the higher one counts.
    pub version: u64,
}

/// Parts of the limits that a VM may give out.
#[derive(Debug, Clone, Copy)]
pub(super) struct Shares {
    /// Part that falls at once and rises only after a delay.
    pub(super) settled: f64,
    /// Part by the VMs that are alive at this moment.
    pub(super) current: f64,
}

/// Rates by which tokens are given out at the moment.
#[derive(Debug, Clone, Copy)]
struct Pace {
    tokens_per_s: f64,
    /// Tokens that are given at once after a pause.
    capacity: f64,
    /// Tokens that may count at any time.
    max_live: f64,
}

impl Pace {
    /// Returns the pace with the higher rate.
    fn max(self, other: Self) -> Self {
        if self.tokens_per_s >= other.tokens_per_s {
            self
        } else {
            other
        }
    }
}

/// Tokens of a customer that a VM gave out lately: a token bucket, and a sliding window.
///
/// The bucket spreads what is given over the window. The window holds each token until the last
/// request that may have spent it is as old as the window.
#[derive(Debug, Clone)]
pub(super) struct Ledger {
    /// Tokens in the bucket.
    level: f64,
    refilled_at: Duration,
    /// Since when this VM is the customer's owner; `None` if it is not.
    owner_since: Option<Duration>,
    /// Tokens given out, with the end of the interval of each entry.
    grants: VecDeque<(Duration, u32)>,
    /// Sum of the entries.
    granted: u32,
    /// Decaying number of questions that got too few tokens.
    backlog: f64,
    backlog_at: Duration,
    asked_at: Duration,
    entitlement: Entitlement,
    /// State of the claim to what the owner before gave out.
    claim: Claim,
    /// Whether the owner before told what it gave out.
    is_informed: bool,
    /// Until when this VM stays the owner whatever VMs it sees.
    entrusted_until: Duration,
}

impl Ledger {
    /// Creates the ledger of a VM that does not know what others gave out in the last window.
    pub(super) fn new(entitlement: Entitlement, rule: &Rule, share: f64, now: Duration) -> Self {
        Self {
            level: rule.reserve() * share,
            refilled_at: now,
            owner_since: None,
            grants: VecDeque::new(),
            granted: 0,
            backlog: 0.0,
            backlog_at: now,
            asked_at: now,
            entitlement,
            claim: Claim::default(),
            is_informed: false,
            entrusted_until: Duration::ZERO,
        }
    }

    /// Takes a limit over unless a later configuration states another.
    pub(super) fn set_entitlement(&mut self, entitlement: Entitlement) {
        if entitlement.version >= self.entitlement.version {
            self.entitlement = entitlement;
        }
    }

    /// Fills the bucket of an owner that knows that nobody gave out anything in the last window.
    pub(super) fn fill(&mut self) {
        self.level = f64::INFINITY;
    }

    /// Records whether this VM is the owner, and if it is, that it became so at `since` unless it
    /// was before.
    pub(super) fn set_owner(&mut self, is_owner: bool, since: Duration) {
        if !is_owner && since < self.entrusted_until {
            return;
        }
        if is_owner && self.owner_since.is_none() {
            self.reset_claim();
        }
        self.owner_since = is_owner.then(|| self.owner_since.unwrap_or(since));
    }

    /// Returns what to do with a question. A new owner learns first what the one before gave out.
    pub(super) fn stance(&mut self, now: Duration) -> Stance {
        if self.owner_since.is_none() || self.is_settled(now) {
            return Stance::Grant;
        }
        self.claim.next_step(now)
    }

    /// Ends the claim to what the owner before gave out, as there is none that could be asked.
    pub(super) fn give_up_claim(&mut self) {
        self.claim.close();
    }

    /// Returns what was given out lately, for the next owner.
    pub(super) fn handover(&mut self, rule: &Rule, now: Duration) -> Handover {
        self.expire(rule, now);
        let mut grants: Vec<(Duration, u32)> = Vec::new();
        let interval = |age: Duration| age.as_millis() / HANDOVER_ENTRY.as_millis();
        for (granted_at, tokens) in &self.grants {
            let age = now.saturating_sub(*granted_at);
            match grants.last_mut() {
                // The age of the youngest counts, so that no token expires early.
                Some(entry) if interval(entry.0) == interval(age) => {
                    *entry = (age, entry.1.saturating_add(*tokens));
                }
                _ => grants.push((age, *tokens)),
            }
        }
        Handover {
            owner_for: self.owner_since.map(|since| now.saturating_sub(since)),
            level: self.level,
            grants,
        }
    }

    /// Adds what the owner before gave out, once. This VM then counts as the owner for as long as that
    /// one did.
    pub(super) fn take_over(&mut self, handover: &Handover, rule: &Rule, now: Duration) {
        self.claim.close();
        let is_empty = handover.owner_for.is_none() && handover.grants.is_empty();
        if self.is_informed || is_empty {
            return;
        }
        self.is_informed = true;
        for (age, tokens) in &handover.grants {
            self.grants.push_back((now.saturating_sub(*age), *tokens));
            self.granted = self.granted.saturating_add(*tokens);
        }
        self.grants.make_contiguous().sort_unstable();
        self.expire(rule, now);
        let Some(owner_for) = handover.owner_for else {
            return;
        };
        if !self.is_settled(now) {
            self.level = handover.level;
            self.refilled_at = now;
        }
        let since = now.saturating_sub(owner_for);
        self.owner_since = Some(self.owner_since.map_or(since, |own| own.min(since)));
        self.entrusted_until = now + ENTRUSTED_TIME;
    }

    fn reset_claim(&mut self) {
        self.claim = Claim::default();
        self.is_informed = false;
    }

    /// Forgets how long this VM has been owner, and the tokens of the bucket, after a pause in which
    /// another VM may have taken its place.
    pub(super) fn restart(&mut self, now: Duration) {
        self.level = 0.0;
        self.refilled_at = now;
        self.owner_since = self.owner_since.map(|_| now);
        self.entrusted_until = Duration::ZERO;
        self.reset_claim();
    }

    /// Gives out up to `wanted` tokens.
    pub(super) fn grant(
        &mut self,
        wanted: u32,
        rule: &Rule,
        shares: Shares,
        now: Duration,
    ) -> Grant {
        let limit = self.entitlement.limit;
        let is_settled = shares.settled > 0.0 && self.is_settled(now);
        let pace = if is_settled {
            // Where the share is being raised, an owner gives out no less than a new one.
            let settled = owner_pace(limit, rule, shares.settled);
            settled.max(successor_pace(limit, rule, shares.current))
        } else if self.owner_since.is_some() {
            successor_pace(limit, rule, shares.current)
        } else {
            reserve_pace(limit, rule, shares.settled)
        };
        self.asked_at = now;
        self.refill(pace, now);
        self.expire(rule, now);
        let room = (pace.max_live - f64::from(self.granted)).min(self.level);
        let tokens = wanted.min(whole_tokens(room));
        self.record(tokens, now);
        if tokens == wanted {
            return Grant {
                tokens,
                ..Grant::default()
            };
        }
        let mut retry_after = self.time_until_token(pace, rule, now);
        if !is_settled {
            retry_after = retry_after.min(self.time_until_settled(now));
        }
        self.backlog += 1.0;
        Grant {
            tokens,
            retry_after,
            is_limited: is_settled,
        }
    }

    /// Returns what is known of the customer's use.
    pub(super) fn usage(&mut self, rule: &Rule, share: f64, now: Duration) -> Usage {
        self.expire(rule, now);
        Usage {
            granted: self.granted,
            limit: rule.window_limit(self.entitlement.limit) * share,
            is_settled: self.is_settled(now),
        }
    }

    /// Returns whether the ledger says no more than a new one of the same owner would.
    pub(super) fn is_idle(&self, rule: &Rule, now: Duration) -> bool {
        now.saturating_sub(self.asked_at) >= 2 * rule.token_lifetime()
    }

    /// Returns whether this VM is the owner.
    pub(super) fn is_owner(&self) -> bool {
        self.owner_since.is_some()
    }

    fn is_settled(&self, now: Duration) -> bool {
        let owner_since = self.owner_since;
        owner_since.is_some_and(|since| now.saturating_sub(since) >= SETTLE_TIME)
    }

    /// Returns the time after which this VM may give out the whole limit, if it is the owner.
    fn time_until_settled(&self, now: Duration) -> Duration {
        let owner_since = self.owner_since.filter(|_| !self.is_settled(now));
        let wait = owner_since.map_or(NOT_OWNER_RETRY_AFTER, |since| {
            (since + SETTLE_TIME).saturating_sub(now)
        });
        wait.max(MIN_RETRY_AFTER)
    }

    fn refill(&mut self, pace: Pace, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.level = (self.level + elapsed * pace.tokens_per_s).min(pace.capacity);
        self.refilled_at = self.refilled_at.max(now);
        let quiet = now.saturating_sub(self.backlog_at).as_secs_f64();
        self.backlog *= (-quiet / BACKLOG_DECAY.as_secs_f64()).exp();
        self.backlog_at = self.backlog_at.max(now);
    }

    fn expire(&mut self, rule: &Rule, now: Duration) {
        while let Some((granted_at, tokens)) = self.grants.front().copied() {
            if now.saturating_sub(granted_at) <= rule.token_lifetime() {
                break;
            }
            self.granted = self.granted.saturating_sub(tokens);
            self.grants.pop_front();
        }
    }

    fn record(&mut self, tokens: u32, now: Duration) {
        if tokens == 0 {
            return;
        }
        self.level -= f64::from(tokens);
        self.granted = self.granted.saturating_add(tokens);
        let end = interval_end(now);
        match self.grants.back_mut().filter(|entry| entry.0 == end) {
            Some(entry) => entry.1 = entry.1.saturating_add(tokens),
            None => self.grants.push_back((end, tokens)),
        }
    }

    /// Returns the time until there is a token for one more question, after those that got too few.
    fn time_until_token(&self, pace: Pace, rule: &Rule, now: Duration) -> Duration {
        let missing = self.backlog + 1.0 - self.level;
        let until_refilled = missing.max(0.0) / pace.tokens_per_s;
        let until_refilled = Duration::try_from_secs_f64(until_refilled).unwrap_or(rule.window);
        let until_expired = self.time_until_expiry(pace, rule, now);
        let longest = rule.token_lifetime();
        let retry_after = until_refilled.max(until_expired);
        retry_after.clamp(MIN_RETRY_AFTER, longest)
    }

    /// Returns the time until so many tokens have expired that one more may be given out.
    fn time_until_expiry(&self, pace: Pace, rule: &Rule, now: Duration) -> Duration {
        let mut live = f64::from(self.granted);
        for (granted_at, tokens) in &self.grants {
            if live + 1.0 <= pace.max_live {
                break;
            }
            live -= f64::from(*tokens);
            if live + 1.0 <= pace.max_live {
                return (*granted_at + rule.token_lifetime()).saturating_sub(now);
            }
        }
        Duration::ZERO
    }
}

/// The whole limit in each window, at most the burst at once.
fn owner_pace(limit: RateLimit, rule: &Rule, share: f64) -> Pace {
    let window_limit = rule.window_limit(limit) * share;
    Pace {
        tokens_per_s: window_limit / rule.window.as_secs_f64(),
        capacity: (limit.burst * share).max(1.0),
        max_live: window_limit,
    }
}

/// The rate without the burst, until the owner before cannot give out tokens any more.
///
/// A customer at its usual rate is served so while its owner changes. One that sends more to both
/// owners exceeds its limit by what the other one gives in that time, for which the overage is.
fn successor_pace(limit: RateLimit, rule: &Rule, share: f64) -> Pace {
    let reserve = reserve_pace(limit, rule, share);
    let tokens_per_s = limit.requests_per_s * share;
    let in_window = tokens_per_s * rule.token_lifetime().as_secs_f64();
    let burst = tokens_per_s * SUCCESSOR_BURST.as_secs_f64();
    Pace {
        tokens_per_s: tokens_per_s.max(reserve.tokens_per_s),
        capacity: reserve.capacity.max(burst),
        max_live: reserve.max_live.max(in_window),
    }
}

/// A part of the slack, and no more than the limit.
fn reserve_pace(limit: RateLimit, rule: &Rule, share: f64) -> Pace {
    let reserve = rule.reserve().min(rule.window_limit(limit)) * share;
    Pace {
        tokens_per_s: reserve / rule.token_lifetime().as_secs_f64(),
        capacity: reserve,
        max_live: 2.0 * reserve,
    }
}

/// Returns the end of the interval of an entry.
fn interval_end(now: Duration) -> Duration {
    let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    Duration::from_millis((now_ms / ENTRY_MS + 1) * ENTRY_MS)
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "negative and huge numbers saturate"
)]
fn whole_tokens(tokens: f64) -> u32 {
    tokens as u32
}
