//! How long the requests of a route run.

use std::time::Duration;

/// Part of a new sample in a moving mean.
const STEP: f64 = 0.1;
/// Parts of the objective that are assumed before the first answers.
const FIRST_WARM: f64 = 0.4;
const FIRST_COLD: f64 = 1.2;

/// What is believed of a target and an object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// The target ran the object lately for this VM.
    Known,
    /// The target is the object's first choice for all VMs, so it most likely did.
    Likely,
    /// Nothing.
    Unknown,
}

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
    ///
    /// A target that was only likely to know the object counts as what its time is nearer to.
    pub fn note(&mut self, belief: Belief, ran: Duration) {
        let ran = ran.as_secs_f64();
        let nearer_to_cold = (ran - self.cold_s).abs() < (ran - self.warm_s).abs();
        let warm = match belief {
            Belief::Known => true,
            Belief::Likely => !nearer_to_cold,
            Belief::Unknown => false,
        };
        let mean = if warm {
            &mut self.warm_s
        } else {
            &mut self.cold_s
        };
        *mean += STEP * (ran - *mean);
    }

    /// Expected running time in seconds.
    #[must_use]
    pub fn expect(&self, belief: Belief) -> f64 {
        match belief {
            Belief::Unknown => self.cold_s.max(self.warm_s),
            Belief::Known | Belief::Likely => self.warm_s,
        }
    }
}
