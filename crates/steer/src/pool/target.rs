//! Slots, health and service time of one target of a pool.

use {
    super::{TargetSnapshot, moving_average::MovingAverage},
    crate::Health,
    std::time::Duration,
};

/// Time over which a target that comes back gets its slots one by one.
const WARM_UP: Duration = Duration::from_secs(3);

/// A target as its pool sees it.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    name: String,
    slots: u32,
    /// Requests that run on the target.
    pub(crate) busy: u32,
    /// Whether an operator has taken the target out of use.
    pub(crate) is_leaving: bool,
    pub(crate) health: Health,
    /// Mean service time.
    pub(crate) service_time: MovingAverage,
    /// When the target last came back into use.
    warming_since: Option<Duration>,
}

impl Target {
    pub(crate) fn new(name: &str, slots: u32) -> Self {
        Self {
            name: name.to_owned(),
            slots,
            busy: 0,
            is_leaving: false,
            health: Health::default(),
            service_time: MovingAverage::new(),
            warming_since: None,
        }
    }

    /// Marks the target as leaving or back in use. A target that comes back starts with
    /// one slot and a clean health record.
    pub(crate) fn set_leaving(&mut self, leaving: bool, now: Duration) {
        if self.is_leaving && !leaving {
            self.warming_since = Some(now);
            self.health = Health::default();
        }
        self.is_leaving = leaving;
    }

    /// Returns how many requests may run on the target at once at `now`.
    pub(crate) fn usable_slots(&self, now: Duration) -> u32 {
        if self.is_leaving {
            return 0;
        }
        let warmed_up = match self.warming_since {
            Some(since) if now < since + WARM_UP => {
                warm_slots(self.slots, now.saturating_sub(since))
            }
            _ => self.slots,
        };
        warmed_up.min(self.health.max_concurrency(self.slots, now))
    }

    /// Returns the usable slots that are free at `now`.
    pub(crate) fn free_slots(&self, now: Duration) -> u32 {
        self.usable_slots(now).saturating_sub(self.busy)
    }

    /// Returns a score that is lower when the target is expected to respond sooner: the
    /// mean service time in milliseconds times the load with one more request.
    pub(crate) fn latency_score(&self) -> f64 {
        let load = f64::from(self.busy + 1) / f64::from(self.slots.max(1));
        load * self.service_time.average_ms()
    }

    /// Returns the state of the target at `now`.
    pub(crate) fn snapshot(&self, now: Duration) -> TargetSnapshot {
        TargetSnapshot {
            name: self.name.clone(),
            busy_slots: self.busy,
            slots: self.slots,
            is_leaving: self.is_leaving,
            is_ejected: self.health.is_ejected(now),
            service_ms: self.service_time.average_ms(),
        }
    }
}

/// Returns the usable slots of a target that came back `elapsed` ago: one at first, the
/// others spread evenly over [`WARM_UP`].
fn warm_slots(slots: u32, elapsed: Duration) -> u32 {
    let elapsed_fraction = elapsed.as_secs_f64() / WARM_UP.as_secs_f64();
    let extra =
        (1..slots).filter(|slot| f64::from(*slot) <= elapsed_fraction * f64::from(slots - 1));
    1 + u32::try_from(extra.count()).unwrap_or(0)
}
