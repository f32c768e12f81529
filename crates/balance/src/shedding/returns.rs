//! Plans when refused callers return, so that they meet room and not each other.
//!
//! It answers a burst that lasts some seconds: callers refused in it come back as new requests, at
//! the time that their refusal named.

use {super::rate::Rate, std::time::Duration};

/// Part of the completions that is left to callers who return where new requests alone would take
/// all of them.
const MIN_RETURN_SHARE: f64 = 0.25;
/// Part of the time that a caller has left up to which it honours the time to return.
const HONOURED_SHARE: f64 = 1.0 / 3.0;

/// A request that is refused.
#[derive(Debug, Clone, Copy)]
pub struct Refusal {
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Whether targets declined the request although they had free slots.
    pub had_free_slots: bool,
    /// Expected time until a target has room.
    pub expected_wait: Duration,
    /// Time until the caller's deadline.
    pub time_left: Duration,
}

/// What determined the time at which a caller may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnReason {
    /// There is room now; targets declined for another reason.
    FreeSlots,
    /// Room is expected at that time.
    Room,
    /// No room is expected before the latest time that the caller would honour.
    NoRoom,
}

impl ReturnReason {
    /// Returns the text for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::FreeSlots => "free slots",
            Self::Room => "room",
            Self::NoRoom => "no room",
        }
    }
}

/// When a refused caller may return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReturnTime {
    /// Time from now.
    pub after: Duration,
    /// What determined it.
    pub reason: ReturnReason,
}

/// The returns of one service's callers that this VM has refused.
///
/// Each return is planned one interval after the one before, where the interval follows the rate
/// at which there is room. The most urgent callers are planned among themselves only, and the
/// others behind all. Two points in time are all that has to be kept of those already told.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReturnSchedule {
    arrivals: Rate,
    completions: Rate,
    /// The most urgent priority that was refused.
    top_priority: Option<u32>,
    next_for_top: Duration,
    next_for_others: Duration,
}

impl ReturnSchedule {
    /// Counts a request of a caller that has not been refused before.
    pub fn record_arrival(&mut self, now: Duration) {
        self.arrivals.record(now);
    }

    /// Counts a request that was answered.
    pub fn record_completion(&mut self, now: Duration) {
        self.completions.record(now);
    }

    /// Returns when a refused caller may return, and reserves the place.
    pub fn plan(&mut self, refusal: &Refusal, now: Duration) -> ReturnTime {
        if refusal.had_free_slots {
            return ReturnTime {
                after: Duration::ZERO,
                reason: ReturnReason::FreeSlots,
            };
        }
        let latest = now + refusal.time_left.mul_f64(HONOURED_SHARE);
        let earliest = (now + refusal.expected_wait).min(latest);
        // After a time without answers the interval would be far longer than any caller waits.
        let interval = self.interval(now).min(latest.saturating_sub(now));
        let is_top = self.top_priority.is_none_or(|top| refusal.priority <= top);
        if is_top {
            self.top_priority = Some(refusal.priority);
        }
        let next = if is_top {
            &mut self.next_for_top
        } else {
            &mut self.next_for_others
        };
        let planned = (*next).max(earliest);
        if planned > latest {
            return ReturnTime {
                after: latest.saturating_sub(now),
                reason: ReturnReason::NoRoom,
            };
        }
        *next = planned + interval;
        if is_top {
            self.next_for_others = self.next_for_others.max(planned) + interval;
        }
        ReturnTime {
            after: planned.saturating_sub(now),
            reason: ReturnReason::Room,
        }
    }

    /// Returns the time between two returns for which there is room.
    fn interval(&self, now: Duration) -> Duration {
        let completions_per_s = self.completions.per_s(now);
        let spare_per_s = completions_per_s - self.arrivals.per_s(now);
        let returns_per_s = spare_per_s.max(MIN_RETURN_SHARE * completions_per_s);
        if returns_per_s <= 0.0 {
            // Nothing is known of the room yet, so the expected wait alone determines the time.
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(1.0 / returns_per_s).unwrap_or(Duration::MAX)
    }
}
