//! Knows which targets lack slots for requests whose objects they have cached.
//!
//! It answers the load of a service that has lost a part of its targets: their objects move to
//! targets that have not cached them, and each first run there holds a slot for as long as several
//! repeat runs take.

use {std::time::Duration, wire::Map};

/// Targets with fewer slots are left to late requests as well.
const MIN_SLOTS: u32 = 3;

/// Returns the number of a target's slots that late requests leave free, so that one that can
/// still be in time need not wait for a late run to end.
#[must_use]
pub fn reserved_slots(slots: u32) -> f64 {
    if slots >= MIN_SLOTS { 1.0 } else { 0.0 }
}

/// Part of a target's slots that first runs may take while slots are short, so that objects which
/// moved there are cached at some time.
const FIRST_RUN_SHARE: f64 = 0.25;

/// Returns how many first runs that would be late a target gets at a time while its slots are
/// short.
#[must_use]
pub fn max_first_runs(slots: u32) -> u32 {
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rounded part of a count of slots"
    )]
    let share = (FIRST_RUN_SHARE * f64::from(slots)).round() as u32;
    share.max(1)
}

/// Weight of a new request in the moving average.
const SMOOTHING: f64 = 0.2;
/// Time after which the average counts for a third of what it counted at first.
const DECAY_S: f64 = 1.0;

#[derive(Debug, Clone, Copy, Default)]
struct Shortage {
    /// Part of the recent requests that found no slot, at the time of the last one.
    blocked: f64,
    updated_at: Duration,
}

impl Shortage {
    fn blocked(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.blocked * (-age.as_secs_f64() / DECAY_S).exp()
    }

    fn record(&mut self, is_blocked: bool, now: Duration) {
        let sample = if is_blocked { 1.0 } else { 0.0 };
        let blocked = self.blocked(now);
        self.blocked = blocked + SMOOTHING * (sample - blocked);
        self.updated_at = now;
    }
}

/// How many of the requests whose objects a target has cached find no slot there.
#[derive(Debug, Clone, Default)]
pub struct Shortages {
    by_target: Map<String, Shortage>,
}

impl Shortages {
    /// Records whether a request that a target could serve in time found no slot when it arrived.
    pub fn record(&mut self, target: &str, is_blocked: bool, now: Duration) {
        if let Some(shortage) = self.by_target.get_mut(target) {
            shortage.record(is_blocked, now);
        } else if is_blocked {
            let mut shortage = Shortage::default();
            shortage.record(is_blocked, now);
            self.by_target.insert(target.to_owned(), shortage);
        }
    }

    /// Returns whether a first run would keep more than one repeat run from a slot: it takes as long
    /// as `repeat_runs` of them, of which the recent part finds no slot.
    #[must_use]
    pub fn is_short(&self, target: &str, repeat_runs: f64, now: Duration) -> bool {
        let shortage = self.by_target.get(target);
        shortage.is_some_and(|shortage| shortage.blocked(now) * repeat_runs > 1.0)
    }

    /// Discards the targets for which `is_known` returns false.
    pub fn retain_targets(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_target.retain(|target, _| is_known(target));
    }
}
