//! How old a VM's knowledge of the configuration may be.
//!
//! A VM that is cut off, suspended or served by a silent source does not hear that a key was
//! withdrawn. This is the load that it answers: requests with keys that come to such a VM. See
//! `docs/design/revocation.md`.

use {std::time::Duration, wire::Revision};

/// Largest difference between the speeds of two clocks, as a part of the time.
const CLOCK_DRIFT: f64 = 0.001;
/// The store states whole milliseconds, of which up to one is missing.
const STORE_CLOCK_UNIT: Duration = Duration::from_millis(1);

/// What is known of the store at one moment: its newest change was then of this revision at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Confirmation {
    /// Revision up to which all changes have to be known for the confirmation to hold.
    pub revision: Revision,
    /// Time of the store's clock.
    pub store_time: Duration,
}

/// Upper bound of the difference between the store's clock and this VM's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ClockBound {
    /// Time of the store's clock that was not reached before `at`.
    store_time: Duration,
    /// Own time.
    at: Duration,
}

impl ClockBound {
    /// Returns the latest time that the store's clock may show.
    fn extrapolate(self, now: Duration) -> Duration {
        let elapsed = now.saturating_sub(self.at);
        self.store_time + elapsed + elapsed.mul_f64(CLOCK_DRIFT)
    }
}

/// A confirmation and the own time at which it was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Heard {
    confirmation: Confirmation,
    at: Duration,
}

/// Bounds the age of what this VM knows. Own times are of a clock that counts suspensions.
///
/// A store whose clock was set would make knowledge look younger than it is. What contradicts a later
/// answer is therefore forgotten, and the next answers state it anew.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Freshness {
    era: u64,
    clock: Option<ClockBound>,
    confirmed: Option<Heard>,
}

impl Freshness {
    /// Begins an era of the store, in which nothing is known yet; does nothing for an older era.
    pub fn begin_era(&mut self, era: u64) {
        if era > self.era {
            *self = Self {
                era,
                ..Self::default()
            };
        }
    }

    /// Records the time of the store's clock in the answer to a call that was sent at the own time
    /// `asked_at`. A time that is too late does no harm.
    pub fn record_store_time(&mut self, era: u64, store_time: Duration, asked_at: Duration) {
        if era != self.era {
            return;
        }
        let added = ClockBound {
            store_time: store_time + STORE_CLOCK_UNIT,
            at: asked_at,
        };
        let is_tighter = |known: ClockBound| {
            let at = known.at.max(added.at);
            added.extrapolate(at) <= known.extrapolate(at)
        };
        if self.clock.is_none_or(is_tighter) {
            self.clock = Some(added);
        }
        // The store's clock showed more before the call than after it: it was set back.
        let is_disproved =
            |held: Heard| held.at <= added.at && held.confirmation.store_time > added.store_time;
        if self.confirmed.is_some_and(is_disproved) {
            self.confirmed = None;
        }
    }

    /// Records a confirmation of the store or of another VM that was heard at the own time `now`, if
    /// this VM knows all changes up to the revision `known`.
    pub fn record_confirmation(
        &mut self,
        confirmation: Confirmation,
        known: Revision,
        now: Duration,
    ) {
        let revision = confirmation.revision;
        if revision.era() != self.era || known.era() != self.era || known < revision {
            return;
        }
        // The store's clock shows more than it can: it was set forward.
        let latest = self.store_time(now);
        if latest.is_some_and(|latest| latest < confirmation.store_time) {
            self.clock = None;
        }
        let is_newer = |held: Heard| held.confirmation.store_time < confirmation.store_time;
        if self.confirmed.is_none_or(is_newer) {
            self.confirmed = Some(Heard {
                confirmation,
                at: now,
            });
        }
    }

    /// Returns the newest confirmation, for other VMs.
    #[must_use]
    pub fn confirmation(&self) -> Option<Confirmation> {
        self.confirmed.map(|held| held.confirmation)
    }

    /// Returns the latest time that the store's clock may show, for other VMs.
    #[must_use]
    pub fn store_time(&self, now: Duration) -> Option<Duration> {
        self.clock.map(|clock| clock.extrapolate(now))
    }

    /// Returns the greatest age that the knowledge of this VM may have, or `None` before there is
    /// any in this era, or while what is known of the store's clock is contradictory.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        let confirmed = self.confirmation()?.store_time;
        self.store_time(now)?.checked_sub(confirmed)
    }
}
