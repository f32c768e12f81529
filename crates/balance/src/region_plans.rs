//! Plans which share of a route's requests leaves this region, from need and room.
//!
//! It answers regions whose callers and targets are in different proportions, and responses so long
//! that sending them to another region costs more than an object that is kept in each. See
//! `docs/design/uneven-regions.md`.

use {
    crate::{
        TargetCounts,
        remote_share::{MAX_SHARE, share_of, weight_of},
    },
    std::time::Duration,
    wire::Map,
};

/// Smallest planned weight, so that the targets of other regions keep their order.
const MIN_WEIGHT: f64 = 0.01;
/// Weight of a new request in the moving average.
const SMOOTHING: f64 = 0.02;
/// Time within which the requests that move to another region are limited. It is the time that the
/// other regions have to react.
const REACTION_TIME: Duration = Duration::from_secs(2);

/// The routes whose shares are planned, and how many requests go beyond the plan.
#[derive(Debug, Clone, Default)]
pub struct RegionPlans {
    /// By route, the part of all callers that are in this region.
    needs: Map<String, f64>,
    /// Part of the recent requests that went to another region beyond the plan, as a moving average.
    moved: f64,
    /// Number of them.
    moved_count: u64,
}

impl RegionPlans {
    /// Sets the part of all callers that are in this region, by which the share of the route is
    /// planned. With `None` it is not planned.
    pub fn set_need(&mut self, route: &str, need: Option<f64>) {
        match need {
            Some(need) => self.needs.insert(route.to_owned(), need),
            None => self.needs.remove(route),
        };
    }

    /// Returns whether the share of the route is planned.
    #[must_use]
    pub fn is_planned(&self, route: &str) -> bool {
        self.needs.contains_key(route)
    }

    /// Returns the weight of targets in other regions with which all regions are equally full, if
    /// the share of the route is planned: what the region needs beyond its part of the targets
    /// leaves it, and the rest stays.
    #[must_use]
    pub fn weight(&self, route: &str, counts: TargetCounts) -> Option<f64> {
        let need = *self.needs.get(route)?;
        let room = 1.0 - share_of(1.0, counts);
        let excess = if need > 0.0 { 1.0 - room / need } else { 0.0 };
        let share = excess.clamp(0.0, MAX_SHARE);
        Some(weight_of(share, counts).max(MIN_WEIGHT))
    }

    /// Returns whether a request of the route may go to another region that is sooner at the moment,
    /// beyond the plan. All such requests together may change the share of this region's requests
    /// that leave it by no more than `max_speed` per second does in the time to react.
    #[must_use]
    pub fn may_move(&self, route: &str, max_speed: f64) -> bool {
        self.is_planned(route) && self.moved < max_speed * REACTION_TIME.as_secs_f64()
    }

    /// Counts a request of this region, and whether it went to another one beyond the plan.
    pub fn record(&mut self, is_moved: bool) {
        let sample = if is_moved { 1.0 } else { 0.0 };
        self.moved += SMOOTHING * (sample - self.moved);
        self.moved_count += u64::from(is_moved);
    }

    /// Returns how many requests went to another region beyond the plan.
    #[must_use]
    pub fn moved_count(&self) -> u64 {
        self.moved_count
    }
}
