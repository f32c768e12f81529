//! Load, health and speed of one target as this VM estimates them.

use {crate::Slowdown, std::time::Duration, steer::Health};

/// Time constant with which the reported load of other VMs decays, as a multiple of the mean
/// response time. That time includes the wait in a queue, so a long queue is not forgotten before
/// it can have drained.
const REPORT_DECAY_RESPONSES: f64 = 2.0;
/// Response time assumed before the first response, in seconds.
const INITIAL_RESPONSE_S: f64 = 0.2;
/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.2;
/// Lower and upper bound of the ratio of a measured to the expected running time.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 20.0);

/// Time constant with which a stated slowdown of a target's machine ceases to count, as it changes
/// several times a second.
const MACHINE_DECAY_S: f64 = 0.3;
/// Time after which it does not count at all.
const MAX_MACHINE_AGE: Duration = Duration::from_secs(1);

/// Load that a target, or the VM that owns its queue, states in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are waiting for a slot.
    pub waiting: u32,
    /// Requests that may run concurrently.
    pub slots: u32,
}

impl LoadReport {
    /// Returns whether fewer requests run than there are slots.
    #[must_use]
    pub fn has_free_slot(self) -> bool {
        self.running < self.slots
    }
}

/// Statistics of one target.
#[derive(Debug, Clone)]
pub struct TargetStats {
    /// Requests from this VM that are in flight.
    pub own_in_flight: u32,
    /// Those of them whose object the target is not known to have cached.
    pub first_runs_in_flight: u32,
    /// State of outlier ejection.
    pub health: Health,
    /// Requests from other VMs according to the last load report.
    others_in_flight: f64,
    others_updated_at: Duration,
    /// Moving average of rejected and failed requests at the time of the last one.
    failure_rate: f64,
    failure_rate_updated_at: Duration,
    slowdown: f64,
    /// Slowdown of the target's machine and when it was stated, if it ever was.
    machine: Option<(f64, Duration)>,
    /// Mean time that requests spend at the target, in seconds.
    response_s: f64,
}

impl Default for TargetStats {
    fn default() -> Self {
        Self {
            own_in_flight: 0,
            first_runs_in_flight: 0,
            health: Health::default(),
            others_in_flight: 0.0,
            others_updated_at: Duration::ZERO,
            failure_rate: 0.0,
            failure_rate_updated_at: Duration::ZERO,
            slowdown: 1.0,
            machine: None,
            response_s: INITIAL_RESPONSE_S,
        }
    }
}

impl TargetStats {
    /// Derives the load of other VMs from a report: all requests that are not this VM's own.
    pub fn apply_report(&mut self, report: LoadReport, now: Duration) {
        let total = f64::from(report.running + report.waiting);
        self.others_in_flight = (total - f64::from(self.own_in_flight)).max(0.0);
        self.others_updated_at = now;
    }

    /// Returns the estimated number of requests at the target from all VMs.
    #[must_use]
    pub fn in_flight(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.others_updated_at).as_secs_f64();
        let others =
            self.others_in_flight * (-age_s / (REPORT_DECAY_RESPONSES * self.response_s)).exp();
        f64::from(self.own_in_flight) + others
    }

    /// Records whether the target rejected or failed a request.
    pub fn record_outcome(&mut self, failed: bool, now: Duration) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failure_rate = self.failure_rate(now) + SMOOTHING * (sample - self.failure_rate(now));
        self.failure_rate_updated_at = now;
    }

    /// Returns the fraction of recent requests that the target rejected or failed. It decays
    /// over time.
    #[must_use]
    pub fn failure_rate(&self, now: Duration) -> f64 {
        const DECAY_S: f64 = 5.0;
        let age_s = now
            .saturating_sub(self.failure_rate_updated_at)
            .as_secs_f64();
        self.failure_rate * (-age_s / DECAY_S).exp()
    }

    /// Records the time that a request spent at the target, its wait there included.
    pub fn record_response_time(&mut self, response_s: f64) {
        self.response_s += SMOOTHING * (response_s - self.response_s);
    }

    /// Records the running time of a request against the expected one of its route.
    pub fn record_running_time(&mut self, running_s: f64, expected_s: f64) {
        let ratio = (running_s / expected_s.max(0.001)).clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        self.slowdown += SMOOTHING * (ratio - self.slowdown);
    }

    /// Takes over how slow the target's machine is, unless something newer is known.
    pub fn apply_slowdown(&mut self, slowdown: Slowdown, now: Duration) {
        let stated_at = now.saturating_sub(slowdown.age);
        let is_newer = self.machine.is_none_or(|(_, known)| stated_at >= known);
        if is_newer {
            self.machine = Some((slowdown.factor, stated_at));
        }
    }

    /// Returns how slow the target's machine was when it was last stated.
    #[must_use]
    pub fn machine_slowdown(&self, now: Duration) -> Option<Slowdown> {
        let (factor, stated_at) = self.machine?;
        let age = now.saturating_sub(stated_at);
        Some(Slowdown { factor, age })
    }

    /// Returns the running time at this target relative to the expected one; at least 1. A machine
    /// that is faster than usual for a moment counts as usual, so that not all requests go there.
    #[must_use]
    pub fn slowdown(&self, now: Duration) -> f64 {
        let machine = self
            .machine_slowdown(now)
            .map_or(1.0, Slowdown::expected_factor);
        self.slowdown.max(machine).max(1.0)
    }
}

impl Slowdown {
    /// Returns the factor that is to be expected now. It counts for less and less, and is 1 in the end.
    #[must_use]
    pub fn expected_factor(self) -> f64 {
        if self.age > MAX_MACHINE_AGE {
            return 1.0;
        }
        let remaining = (-self.age.as_secs_f64() / MACHINE_DECAY_S).exp();
        1.0 + (self.factor - 1.0) * remaining
    }
}
