//! Keeps slots free for urgent work where there is much of it.

use wire::Map;

/// Part of a new request in the moving mean.
const STEP: f64 = 0.02;
/// Part of urgent requests from which on a slot is kept free.
const MUCH: f64 = 0.25;
/// Targets with fewer slots keep none free.
const MIN_SLOTS: u32 = 3;

#[derive(Debug, Clone, Copy)]
struct Share {
    /// The most urgent rank seen.
    top: u32,
    /// Part of the requests that have this rank.
    part: f64,
}

/// How much of each service's work has the most urgent rank.
#[derive(Debug, Clone, Default)]
pub struct PriorityReserve {
    services: Map<String, Share>,
}

impl PriorityReserve {
    /// Notes a request.
    pub fn record(&mut self, service: &str, priority: u32) {
        let first = Share {
            top: priority,
            part: 0.0,
        };
        let share = self.services.entry(service.to_owned()).or_insert(first);
        if priority < share.top {
            *share = first;
        }
        let sample = if priority == share.top { 1.0 } else { 0.0 };
        share.part += STEP * (sample - share.part);
    }

    /// Slots of a target that a request of this rank leaves free.
    #[must_use]
    pub fn reserved_slots(&self, service: &str, priority: u32, slots: u32) -> f64 {
        let share = self.services.get(service);
        let urgent = share.is_some_and(|share| priority > share.top && share.part > MUCH);
        if urgent && slots >= MIN_SLOTS {
            1.0
        } else {
            0.0
        }
    }
}
