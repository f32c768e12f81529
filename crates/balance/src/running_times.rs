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
pub enum Affinity {
    /// The target ran the object lately for this VM.
    Known,
    /// The target is the object's first choice for all VMs, so it most likely did.
    Likely,
    /// Nothing.
    Unknown,
}

/// Moving means of the running time in seconds, by whether the target knew the object.
#[derive(Debug, Clone)]
pub struct RunningTimes {
    warm: f64,
    cold: f64,
    /// Running time at a target that knows the object and is not crowded.
    short: f64,
    /// Longest time that callers of the route grant.
    granted: f64,
}

impl RunningTimes {
    /// Starts from the latency objective of the route.
    #[must_use]
    pub fn new(objective: Duration) -> Self {
        let objective = objective.as_secs_f64();
        Self {
            warm: objective * FIRST_WARM,
            cold: objective * FIRST_COLD,
            short: objective * FIRST_WARM,
            granted: 0.0,
        }
    }

    /// Takes the running time of a request that did not wait.
    ///
    /// A target that was only likely to know the object counts as what its time is nearer to.
    pub fn record(&mut self, belief: Affinity, ran: Duration) {
        let ran = ran.as_secs_f64();
        let nearer_to_cold = (ran - self.cold).abs() < (ran - self.warm).abs();
        let warm = match belief {
            Affinity::Known => true,
            Affinity::Likely => !nearer_to_cold,
            Affinity::Unknown => false,
        };
        let mean = if warm { &mut self.warm } else { &mut self.cold };
        *mean += STEP * (ran - *mean);
        let step = if ran < self.short { STEP } else { SHORT_STEP };
        self.short += step * (ran - self.short);
    }

    /// Takes the time that a caller grants, and returns how long ago it asked first.
    ///
    /// Callers of a route grant the same time, and one that was refused and comes back
    /// grants only what is left of it.
    pub fn estimate_caller_wait(&mut self, granted: Duration) -> Duration {
        let granted = granted.as_secs_f64();
        self.granted = (self.granted * GRANTED_KEEP).max(granted);
        let before = self.granted - granted;
        let before = if before < SAME_GRANT_S { 0.0 } else { before };
        Duration::from_secs_f64(before)
    }

    /// Running time in seconds at a target that knows the object and is not crowded. The
    /// crowd near this VM does not lengthen it, so that it can be compared with a place
    /// that has no crowd.
    #[must_use]
    pub fn uncongested_s(&self) -> f64 {
        self.short
    }

    /// Expected running time in seconds.
    #[must_use]
    pub fn expected_s(&self, belief: Affinity) -> f64 {
        match belief {
            Affinity::Unknown => self.cold.max(self.warm),
            Affinity::Known | Affinity::Likely => self.warm,
        }
    }
}
