//! What this VM knows of one target's load and health.

use {std::time::Duration, steer::Health};

/// Times that a request stays at the target, after which a report of others' is forgotten.
const REPORT_STAYS: f64 = 2.0;
/// Stay that is assumed before the first answer, in seconds.
const FIRST_STAY_S: f64 = 0.2;
/// Part of a new sample in the moving means.
const STEP: f64 = 0.2;
/// Bounds on how much slower than its service a target may be taken for.
const SLOWNESS: (f64, f64) = (0.5, 20.0);

/// Load that a target states in its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at a time.
    pub slots: u32,
}

/// Load and health of one target.
#[derive(Debug, Clone)]
pub struct TargetStats {
    /// Requests of this VM without an answer.
    pub own_in_flight: u32,
    /// Ejection after failures.
    pub health: Health,
    others: f64,
    others_at: Duration,
    trouble: f64,
    trouble_at: Duration,
    slowness: f64,
    /// How long requests stay at the target, in seconds.
    stay_s: f64,
}

impl Default for TargetStats {
    fn default() -> Self {
        Self {
            own_in_flight: 0,
            health: Health::default(),
            others: 0.0,
            others_at: Duration::ZERO,
            trouble: 0.0,
            trouble_at: Duration::ZERO,
            slowness: 1.0,
            stay_s: FIRST_STAY_S,
        }
    }
}

impl TargetStats {
    /// Takes a target's report; what is not this VM's own is others'.
    pub fn apply_report(&mut self, report: LoadReport, now: Duration) {
        let all = f64::from(report.running + report.waiting);
        self.others = (all - f64::from(self.own_in_flight)).max(0.0);
        self.others_at = now;
    }

    /// Requests at the target, of all VMs, as far as this VM can tell.
    #[must_use]
    pub fn in_flight(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.others_at).as_secs_f64();
        let others = self.others * (-age / (REPORT_STAYS * self.stay_s)).exp();
        f64::from(self.own_in_flight) + others
    }

    /// Notes whether a request was turned away or spoilt by the target.
    pub fn record_outcome(&mut self, bad: bool, now: Duration) {
        let sample = if bad { 1.0 } else { 0.0 };
        self.trouble = self.failure_rate(now) + STEP * (sample - self.failure_rate(now));
        self.trouble_at = now;
    }

    /// Part of recent requests that the target turned away or spoilt.
    #[must_use]
    pub fn failure_rate(&self, now: Duration) -> f64 {
        const FORGET_S: f64 = 5.0;
        let age = now.saturating_sub(self.trouble_at).as_secs_f64();
        self.trouble * (-age / FORGET_S).exp()
    }

    /// Notes how long a request was at the target, in seconds, its wait there included.
    pub fn record_response_time(&mut self, stay_s: f64) {
        self.stay_s += STEP * (stay_s - self.stay_s);
    }

    /// Notes how long a request ran against what its route leads to expect.
    pub fn record_running_time(&mut self, ran_s: f64, expected_s: f64) {
        let ratio = (ran_s / expected_s.max(0.001)).clamp(SLOWNESS.0, SLOWNESS.1);
        self.slowness += STEP * (ratio - self.slowness);
    }

    /// Running time at this target relative to its service.
    #[must_use]
    pub fn slowdown(&self) -> f64 {
        self.slowness.max(1.0)
    }
}
