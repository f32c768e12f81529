//! A target as its pool uses it.

use {
    super::{TargetSnapshot, moving_average::MovingAverage},
    crate::Health,
    std::time::Duration,
};

/// Time over which a target that was cold gets its slots back one by one.
const WARM_UP: Duration = Duration::from_secs(3);

/// A target with its exact count of running requests.
#[derive(Debug, Clone)]
pub(crate) struct Target {
    name: String,
    slots: u32,
    pub(crate) busy: u32,
    pub(crate) leaving: bool,
    pub(crate) health: Health,
    pub(crate) service: MovingAverage,
    warming_since: Option<Duration>,
}

impl Target {
    pub(crate) fn new(name: &str, slots: u32) -> Self {
        Self {
            name: name.to_owned(),
            slots,
            busy: 0,
            leaving: false,
            health: Health::default(),
            service: MovingAverage::new(),
            warming_since: None,
        }
    }

    /// Marks it as leaving or back; it comes back cold.
    pub(crate) fn set_leaving(&mut self, leaving: bool, now: Duration) {
        if self.leaving && !leaving {
            self.warming_since = Some(now);
            self.health = Health::default();
        }
        self.leaving = leaving;
    }

    /// Requests that it may have at once now.
    pub(crate) fn usable_slots(&self, now: Duration) -> u32 {
        if self.leaving {
            return 0;
        }
        let warm = match self.warming_since {
            Some(from) if now < from + WARM_UP => warm_slots(self.slots, now.saturating_sub(from)),
            _ => self.slots,
        };
        warm.min(self.health.max_concurrency(self.slots, now))
    }

    /// Slots that may be used now and are not.
    pub(crate) fn free_slots(&self, now: Duration) -> u32 {
        self.usable_slots(now).saturating_sub(self.busy)
    }

    /// Lower for a target that is expected to answer sooner.
    pub(crate) fn latency_score(&self) -> f64 {
        let load = f64::from(self.busy + 1) / f64::from(self.slots.max(1));
        load * self.service.ms()
    }

    pub(crate) fn snapshot(&self, now: Duration) -> TargetSnapshot {
        TargetSnapshot {
            name: self.name.clone(),
            busy_slots: self.busy,
            slots: self.slots,
            leaving: self.leaving,
            ejected: self.health.is_ejected(now),
            service_ms: self.service.ms(),
        }
    }
}

/// One slot at once, the others spread evenly over [`WARM_UP`].
fn warm_slots(slots: u32, since: Duration) -> u32 {
    let part = since.as_secs_f64() / WARM_UP.as_secs_f64();
    let extra = (1..slots).filter(|slot| f64::from(*slot) <= part * f64::from(slots - 1));
    1 + u32::try_from(extra.count()).unwrap_or(0)
}
