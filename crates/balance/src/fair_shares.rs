//! Proportional shares of customers whose requests wait for the same targets.
//!
//! It answers the load of one customer that sends many times its usual rate, within its quota, while there
//! is too little room for all: it then waits behind itself, and the others are served as before. See
//! `docs/design/shares.md`.

use wire::Map;

/// Virtual time that a request of a customer of weight 1 takes.
const UNIT: f64 = 1e6;
/// Longest virtual time of a request, so that virtual times never saturate.
const MAX_COST: f64 = 1e12;

/// Virtual start times of requests (start-time fair queueing), by service and priority. There is
/// state only of customers with requests that wait, or were sent no later than the last one of all.
#[derive(Debug, Clone, Default)]
pub struct FairShares {
    by_service: Map<String, Map<u32, Clock>>,
}

/// The virtual time of the requests of one service and priority.
#[derive(Debug, Clone, Default)]
struct Clock {
    /// Start of the request that was sent last.
    now: u64,
    /// By customer, the start of its next request if it were sent right after its last one.
    next_starts: Map<String, u64>,
}

impl FairShares {
    /// Returns the virtual start time of a newly arrived request. One without a customer starts now.
    /// `weight` is the customer's part of the room, relative to those of the others.
    pub fn start(
        &mut self,
        service: &str,
        priority: u32,
        customer: Option<&str>,
        weight: f64,
    ) -> u64 {
        let Some(customer) = customer else {
            let clocks = self.by_service.get(service);
            return clocks
                .and_then(|clocks| clocks.get(&priority))
                .map_or(0, |clock| clock.now);
        };
        let clock = self.clock(service, priority);
        let now = clock.now;
        let next_start = clock.next_starts.entry(customer.to_owned()).or_insert(now);
        let start = now.max(*next_start);
        *next_start = start.saturating_add(cost(weight));
        start
    }

    /// Records that a request was sent to a target.
    pub fn record_dispatch(&mut self, service: &str, priority: u32, start: u64) {
        let clock = self.clock(service, priority);
        // All known customers are ahead of the virtual time as long as it does not move on.
        if start <= clock.now {
            return;
        }
        clock.now = start;
        clock
            .next_starts
            .retain(|_, next_start| *next_start > start);
    }

    /// Records that a request was refused, or its caller left, before it was sent. It does not count
    /// against its customer, whose `weight` is that of [`FairShares::start`].
    pub fn record_withdrawal(&mut self, service: &str, priority: u32, customer: &str, weight: f64) {
        let clocks = self.by_service.get_mut(service);
        let Some(clock) = clocks.and_then(|clocks| clocks.get_mut(&priority)) else {
            return;
        };
        let Some(next_start) = clock.next_starts.get_mut(customer) else {
            return;
        };
        *next_start = next_start.saturating_sub(cost(weight));
        if *next_start <= clock.now {
            clock.next_starts.remove(customer);
        }
    }

    /// Discards the state of services for which `is_known` returns false.
    pub fn retain_services(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_service.retain(|service, _| is_known(service));
    }

    /// Returns of how many customers there is state.
    #[must_use]
    pub fn len(&self) -> usize {
        let clocks = self.by_service.values().flat_map(Map::values);
        clocks.map(|clock| clock.next_starts.len()).sum()
    }

    /// Returns whether there is no state of any customer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn clock(&mut self, service: &str, priority: u32) -> &mut Clock {
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.to_owned(), Map::default());
        }
        let clocks = self.by_service.get_mut(service);
        let clocks = clocks.expect("the service was inserted above");
        clocks.entry(priority).or_default()
    }
}

/// Returns the virtual time that a request takes.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to numbers that fit"
)]
fn cost(weight: f64) -> u64 {
    (UNIT / weight).clamp(1.0, MAX_COST) as u64
}
