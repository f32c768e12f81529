//! Keeps slots free for the most urgent requests of a service when they are frequent.

use wire::Map;

/// Weight of a new request in the moving average.
const SMOOTHING: f64 = 0.02;
/// Fraction of requests with the top priority above which a slot is reserved for them.
const RESERVE_THRESHOLD: f64 = 0.25;
/// Targets with fewer slots reserve none.
const MIN_SLOTS: u32 = 3;

#[derive(Debug, Clone, Copy)]
struct TopPriority {
    /// The most urgent priority seen; lower numbers are more urgent.
    priority: u32,
    /// Fraction of the requests that have this priority, as a moving average.
    fraction: f64,
}

/// The share of top-priority requests in each service.
#[derive(Debug, Clone, Default)]
pub struct PriorityReserve {
    services: Map<String, TopPriority>,
}

impl PriorityReserve {
    /// Counts an arriving request.
    pub fn record(&mut self, service: &str, priority: u32) {
        let initial = TopPriority {
            priority,
            fraction: 0.0,
        };
        let top = self.services.entry(service.to_owned()).or_insert(initial);
        if priority < top.priority {
            *top = initial;
        }
        let sample = if priority == top.priority { 1.0 } else { 0.0 };
        top.fraction += SMOOTHING * (sample - top.fraction);
    }

    /// Returns the number of a target's slots that a request of this priority must leave free.
    #[must_use]
    pub fn reserved_slots(&self, service: &str, priority: u32, slots: u32) -> f64 {
        let top = self.services.get(service);
        let must_yield =
            top.is_some_and(|top| priority > top.priority && top.fraction > RESERVE_THRESHOLD);
        if must_yield && slots >= MIN_SLOTS {
            1.0
        } else {
            0.0
        }
    }
}
