//! How long the requests of a route run.

use std::time::Duration;

/// Part of a new sample in a moving mean.
const STEP: f64 = 0.1;
/// Parts of the objective that are assumed before the first answers.
const FIRST_WARM: f64 = 0.4;
const FIRST_COLD: f64 = 1.2;

/// Moving means of the running time, by whether the target knew the object.
#[derive(Debug, Clone)]
pub struct Times {
    warm_s: f64,
    cold_s: f64,
}

impl Times {
    /// Starts from the latency objective of the route.
    #[must_use]
    pub fn new(objective: Duration) -> Self {
        let objective = objective.as_secs_f64();
        Self {
            warm_s: objective * FIRST_WARM,
            cold_s: objective * FIRST_COLD,
        }
    }

    /// Takes the running time of a request that did not wait.
    pub fn note(&mut self, warm: bool, ran: Duration) {
        let mean = if warm {
            &mut self.warm_s
        } else {
            &mut self.cold_s
        };
        *mean += STEP * (ran.as_secs_f64() - *mean);
    }

    /// Expected running time in seconds.
    #[must_use]
    pub fn expect(&self, warm: bool) -> f64 {
        if warm {
            self.warm_s
        } else {
            self.cold_s.max(self.warm_s)
        }
    }
}
