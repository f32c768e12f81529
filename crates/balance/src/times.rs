//! How long the requests of a route run.

use std::time::Duration;

/// Part of a new sample in a moving mean.
const STEP: f64 = 0.1;
/// The same for samples longer than the short running time.
const SHORT_STEP: f64 = 0.004;
/// Part of the longest granted time that is kept at each request, so that a change is followed.
const GRANTED_KEEP: f64 = 0.9999;
/// Grants that differ by less are taken for the same.
const SAME_GRANT_S: f64 = 0.05;
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
    /// Running time at a target that knows the object and is not crowded.
    short_s: f64,
    /// Longest time that callers of the route grant.
    granted_s: f64,
}

impl Times {
    /// Starts from the latency objective of the route.
    #[must_use]
    pub fn new(objective: Duration) -> Self {
        let objective = objective.as_secs_f64();
        Self {
            warm_s: objective * FIRST_WARM,
            cold_s: objective * FIRST_COLD,
            short_s: objective * FIRST_WARM,
            granted_s: 0.0,
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
        let step = if ran < self.short_s { STEP } else { SHORT_STEP };
        self.short_s += step * (ran - self.short_s);
    }

    /// Takes the time that a caller grants, and returns how long ago it asked first.
    ///
    /// Callers of a route grant the same time, and one that was refused and comes back
    /// grants only what is left of it.
    pub fn asked_before(&mut self, granted: Duration) -> Duration {
        let granted = granted.as_secs_f64();
        self.granted_s = (self.granted_s * GRANTED_KEEP).max(granted);
        let before = self.granted_s - granted;
        let before = if before < SAME_GRANT_S { 0.0 } else { before };
        Duration::from_secs_f64(before)
    }

    /// Running time in seconds at a target that knows the object and is not crowded. The
    /// crowd near this VM does not lengthen it, so that it can be compared with a place
    /// that has no crowd.
    #[must_use]
    pub fn short(&self) -> f64 {
        self.short_s
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
