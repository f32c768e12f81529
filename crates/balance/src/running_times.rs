//! Moving averages of the running times of a route's requests.

use {crate::shedding::Timeouts, std::time::Duration};

/// Weight of a new sample in a moving average.
const SMOOTHING: f64 = 0.1;
/// Weight of a new sample that is longer than the average uncongested running time. It is low
/// so that congestion barely raises that average.
const UNCONGESTED_UPWARD_SMOOTHING: f64 = 0.004;
/// Factor by which the longest caller timeout decays with each request, so that it follows a
/// change to shorter timeouts.
const TIMEOUT_DECAY: f64 = 0.9999;
/// Differences between caller timeouts below this many seconds are ignored.
const TIMEOUT_TOLERANCE_S: f64 = 0.05;
/// Initial running time with the object cached, as a fraction of the latency objective.
const INITIAL_CACHED: f64 = 0.4;
/// Initial uncongested running time, as a fraction of the latency objective. It is well within the
/// time in which another region has to respond, so that requests may move there from the start.
const INITIAL_UNCONGESTED: f64 = 0.25;
/// Initial running time without the object cached, as a fraction of the latency objective.
const INITIAL_UNCACHED: f64 = 1.2;

/// Runs beside a load without which nothing is said of them.
const MIN_LOADING_RUNS: u32 = 3;

/// Whether a target is expected to have an object cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Affinity {
    /// The target handled the object recently for this VM.
    Known,
    /// The target is the object's first choice on all VMs and has probably handled it.
    Likely,
    /// The target is loading the object for another request, or began to.
    Loading,
    /// Nothing suggests that the target has the object cached.
    Unknown,
}

impl Affinity {
    /// Returns whether a run may be the one that loads the object at its target.
    #[must_use]
    pub fn is_first_run(self) -> bool {
        matches!(self, Self::Likely | Self::Unknown)
    }
}

/// Running times of one route, in seconds.
#[derive(Debug, Clone)]
pub struct RunningTimes {
    cached_s: f64,
    uncached_s: f64,
    /// Running time beside the run that loads the object.
    loading_s: f64,
    /// Number of such runs, up to [`MIN_LOADING_RUNS`].
    loading_runs: u32,
    /// Running time at a target that has the object cached and is not congested.
    uncongested_s: f64,
    /// Longest timeout that callers of the route have set, in seconds; it decays with
    /// each request.
    max_caller_timeout: f64,
    /// Timeouts that new callers of the route set.
    pub(crate) timeouts: Timeouts,
}

impl RunningTimes {
    /// Creates estimates derived from the latency objective of the route.
    #[must_use]
    pub fn new(objective: Duration) -> Self {
        let objective_s = objective.as_secs_f64();
        Self {
            cached_s: objective_s * INITIAL_CACHED,
            uncached_s: objective_s * INITIAL_UNCACHED,
            loading_s: objective_s * INITIAL_CACHED,
            loading_runs: 0,
            uncongested_s: objective_s * INITIAL_UNCONGESTED,
            max_caller_timeout: 0.0,
            timeouts: Timeouts::default(),
        }
    }

    /// Adds the running time of a request that did not wait at the target.
    ///
    /// A sample with [`Affinity::Likely`] or [`Affinity::Loading`] counts towards the average that it
    /// is closer to.
    pub fn record(&mut self, affinity: Affinity, running_time: Duration) {
        let sample_s = running_time.as_secs_f64();
        let is_closer_to_uncached =
            (sample_s - self.uncached_s).abs() < (sample_s - self.cached_s).abs();
        if affinity == Affinity::Loading {
            self.loading_s += SMOOTHING * (sample_s - self.loading_s);
            self.loading_runs = (self.loading_runs + 1).min(MIN_LOADING_RUNS);
        }
        let was_cached = match affinity {
            Affinity::Known => true,
            Affinity::Likely | Affinity::Loading => !is_closer_to_uncached,
            Affinity::Unknown => false,
        };
        let average_s = if was_cached {
            &mut self.cached_s
        } else {
            &mut self.uncached_s
        };
        *average_s += SMOOTHING * (sample_s - *average_s);
        let smoothing = if sample_s < self.uncongested_s {
            SMOOTHING
        } else {
            UNCONGESTED_UPWARD_SMOOTHING
        };
        self.uncongested_s += smoothing * (sample_s - self.uncongested_s);
    }

    /// Records the timeout of an arriving request and estimates how long ago its caller made
    /// its first attempt.
    ///
    /// Callers of a route start with the same timeout, and a caller that retries after a
    /// refusal sets only the remainder.
    pub fn estimate_caller_wait(&mut self, caller_timeout: Duration) -> Duration {
        let caller_timeout_s = caller_timeout.as_secs_f64();
        self.max_caller_timeout = (self.max_caller_timeout * TIMEOUT_DECAY).max(caller_timeout_s);
        let wait_s = self.max_caller_timeout - caller_timeout_s;
        let wait_s = if wait_s < TIMEOUT_TOLERANCE_S {
            0.0
        } else {
            wait_s
        };
        Duration::from_secs_f64(wait_s)
    }

    /// Returns the running time in seconds at a target that has the object cached and is not
    /// congested.
    ///
    /// Congestion near this VM barely affects the value, so it can be used to estimate the
    /// running time in another region that is not congested.
    #[must_use]
    pub fn uncongested_s(&self) -> f64 {
        self.uncongested_s
    }

    /// Returns whether runs beside the one that loads the object are about as short as repeat runs.
    #[must_use]
    pub fn has_object_while_loading(&self) -> bool {
        self.loading_s < f64::midpoint(self.cached_s, self.expected_s(Affinity::Unknown))
    }

    /// Returns whether targets have been seen to have an object from the start of its first run, so that
    /// they keep it if that is stopped. Runs that rely on it count as runs beside a load, so that it is
    /// noticed if they do not.
    #[must_use]
    pub fn keeps_begun_objects(&self) -> bool {
        self.loading_runs >= MIN_LOADING_RUNS && self.has_object_while_loading()
    }

    /// Returns the expected running time in seconds. Without affinity it is never shorter than
    /// with it.
    #[must_use]
    pub fn expected_s(&self, affinity: Affinity) -> f64 {
        match affinity {
            Affinity::Unknown => self.uncached_s.max(self.cached_s),
            Affinity::Known | Affinity::Likely => self.cached_s,
            Affinity::Loading => self.loading_s,
        }
    }
}
