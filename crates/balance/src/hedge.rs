//! Decides when a slow read is sent once more, to the next target of its object.
//!
//! It answers runs that take many times as long as usual, and targets that are slow for a moment,
//! while others are idle. See `docs/design/hedged-reads.md`.

use {
    crate::{Affinity, Dispatch, ResponseTimes},
    std::time::Duration,
    wire::Map,
};

/// Fraction of a target's slots up to which it accepts copies, so that these rarely make the first
/// sends of others wait.
pub(crate) const COPY_SLOT_FRACTION: f64 = 0.5;
/// Fraction of the recent requests to a service that found no room, above which it is crowded.
const CROWDED_FRACTION: f64 = 0.05;
/// Time constant with which requests cease to count as recent.
const RECENT_S: f64 = 1.0;

/// Probability of being late from which a read gets a copy that can be in time: then one copy in three
/// saves a caller, and each takes a slot that is free for the time of a repeat run.
const MIN_PROBABILITY_LATE: f64 = 1.0 / 3.0;

/// Why a slow request is not sent once more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Declined {
    /// Requests to the service find no room.
    Crowded,
    /// There is no other target that may run it.
    NoTarget,
    /// The other target has too few free slots.
    NoRoom,
    /// A copy is not expected to be answered sooner.
    NotSooner,
    /// The part of the retry budget that copies may use is used up.
    NoBudget,
}

impl Declined {
    /// Returns the text for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crowded => "crowded",
            Self::NoTarget => "no target",
            Self::NoRoom => "no room",
            Self::NotSooner => "not sooner",
            Self::NoBudget => "no budget",
        }
    }
}

/// A request whose response is awaited.
#[derive(Debug, Clone, Copy)]
pub struct Pending<'a> {
    /// The target that it was sent to.
    pub dispatch: &'a Dispatch,
    /// Service that runs it.
    pub service: &'a str,
    /// Time since it was sent.
    pub elapsed: Duration,
}

/// What one VM knows of the response times of its requests, and of the room that they found.
#[derive(Debug, Clone, Default)]
pub struct Hedging {
    by_route: Map<String, Route>,
    room_by_service: Map<String, Room>,
}

/// Response times of a route, without the network's part.
#[derive(Debug, Clone, Default)]
struct Route {
    cached: ResponseTimes,
    uncached: ResponseTimes,
}

impl Hedging {
    /// Records how long a response took.
    pub fn record_response(&mut self, dispatch: &Dispatch, elapsed: Duration) {
        let at_target_s = elapsed.saturating_sub(dispatch.round_trip).as_secs_f64();
        self.times_mut(dispatch).record(at_target_s);
    }

    /// Records that a response was not awaited any longer, as that to a copy came first.
    pub fn record_given_up(&mut self, dispatch: &Dispatch, elapsed: Duration) {
        let at_target_s = elapsed.saturating_sub(dispatch.round_trip).as_secs_f64();
        self.times_mut(dispatch).record_given_up(at_target_s);
    }

    /// Records whether a request to a service found a target with room.
    pub fn record_room(&mut self, service: &str, has_room: bool, now: Duration) {
        let room = self.room_by_service.entry(service.to_owned()).or_default();
        room.record(has_room, now);
    }

    /// Returns the time after sending, at or after what has elapsed, from which a copy of the request
    /// is worthwhile, if it is expected to take `copy_s` seconds.
    #[must_use]
    pub fn time_to_copy(&self, pending: &Pending<'_>, copy_s: f64) -> Option<Duration> {
        let round_trip = pending.dispatch.round_trip;
        let from = pending.elapsed.saturating_sub(round_trip);
        let times = self.times(pending.dispatch)?;
        let at_s = times.time_to_copy_s(from.as_secs_f64(), copy_s)?;
        let at = Duration::try_from_secs_f64(at_s).ok()?;
        Some(at + round_trip)
    }

    /// Returns the latest time after sending at which a copy of the request can still be answered
    /// within the latency objective, if it is worthwhile then: the request itself is likely to be late
    /// if it has no response by that time. The objective is missed `until_late` after sending; a copy
    /// is expected to take `copy_s` seconds.
    #[must_use]
    pub fn time_for_copy_in_time(
        &self,
        dispatch: &Dispatch,
        until_late: Duration,
        copy_s: f64,
    ) -> Option<Duration> {
        let copy = Duration::try_from_secs_f64(copy_s).ok()?;
        let at = until_late.checked_sub(copy)?;
        let round_trip = dispatch.round_trip;
        let probability_late = self.times(dispatch)?.probability_longer(
            at.saturating_sub(round_trip).as_secs_f64(),
            until_late.saturating_sub(round_trip).as_secs_f64(),
        )?;
        (probability_late >= MIN_PROBABILITY_LATE).then_some(at)
    }

    /// Returns whether recent requests to a service found no room.
    #[must_use]
    pub fn is_crowded(&self, service: &str, now: Duration) -> bool {
        let room = self.room_by_service.get(service);
        room.is_some_and(|room| room.is_crowded(now))
    }

    /// Decides whether a copy of a slow request is sent to another target, which is expected to
    /// take `copy_s` seconds for it.
    ///
    /// # Errors
    /// The reason why it is not.
    pub fn check_copy(
        &self,
        pending: &Pending<'_>,
        copy: &Dispatch,
        copy_s: f64,
        now: Duration,
    ) -> Result<(), Declined> {
        if self.is_crowded(pending.service, now) {
            return Err(Declined::Crowded);
        }
        if !has_room_for_copy(copy) {
            return Err(Declined::NoRoom);
        }
        let round_trip = pending.dispatch.round_trip;
        let elapsed = pending.elapsed.saturating_sub(round_trip);
        let times = self.times(pending.dispatch);
        if !times.is_some_and(|times| times.calls_for_copy(elapsed.as_secs_f64(), copy_s)) {
            return Err(Declined::NotSooner);
        }
        Ok(())
    }

    /// Returns the part of the route's responses from targets that have the object which take longer
    /// than `objective`, or `None` if too little is known.
    #[must_use]
    pub fn late_part(&self, route: &str, objective: Duration) -> Option<f64> {
        let times = &self.by_route.get(route)?.cached;
        times.part_longer_than(objective.as_secs_f64())
    }

    fn times(&self, dispatch: &Dispatch) -> Option<&ResponseTimes> {
        let route = self.by_route.get(&dispatch.route)?;
        Some(match dispatch.affinity {
            Affinity::Known | Affinity::Likely | Affinity::Loading => &route.cached,
            Affinity::Unknown => &route.uncached,
        })
    }

    fn times_mut(&mut self, dispatch: &Dispatch) -> &mut ResponseTimes {
        let route = self.by_route.entry(dispatch.route.clone()).or_default();
        match dispatch.affinity {
            Affinity::Known | Affinity::Likely | Affinity::Loading => &mut route.cached,
            Affinity::Unknown => &mut route.uncached,
        }
    }
}

/// Returns whether a target has a slot free for a copy, as far as is known.
#[must_use]
pub fn has_room_for_copy(dispatch: &Dispatch) -> bool {
    dispatch.requests_ahead < COPY_SLOT_FRACTION * dispatch.slots
}

/// The recent requests to a service, with and without those that found no room.
#[derive(Debug, Clone, Copy, Default)]
struct Room {
    requests: f64,
    refused: f64,
    updated_at: Duration,
}

impl Room {
    fn record(&mut self, has_room: bool, now: Duration) {
        let remaining = self.remaining(now);
        self.requests = self.requests * remaining + 1.0;
        self.refused = self.refused * remaining + if has_room { 0.0 } else { 1.0 };
        self.updated_at = now;
    }

    fn is_crowded(&self, now: Duration) -> bool {
        // What remains of one refusal alone is no crowd.
        let refused = self.refused * self.remaining(now);
        refused > 1.0 && self.refused > CROWDED_FRACTION * self.requests
    }

    fn remaining(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.updated_at).as_secs_f64();
        (-age_s / RECENT_S).exp()
    }
}
