//! Rate caps of a pool.

use {super::RateLimits, crate::SlidingWindow, std::time::Duration, wire::Map};

/// Rate limiters for the requests that a pool dispatches.
#[derive(Debug, Clone)]
pub(crate) struct RateCaps {
    home_region: String,
    /// Limits the requests from all regions.
    region: SlidingWindow,
    /// Limits the requests from all other regions together.
    shift: SlidingWindow,
    /// Limits the requests from each other region, by region name.
    links: Map<String, SlidingWindow>,
}

impl RateCaps {
    /// Creates the caps of a pool in `home_region`, all unlimited.
    pub(crate) fn new(home_region: &str) -> Self {
        Self {
            home_region: home_region.to_owned(),
            region: SlidingWindow::new(u32::MAX),
            shift: SlidingWindow::new(u32::MAX),
            links: Map::default(),
        }
    }

    /// Sets the limits; the dispatches counted so far still count. A link that is not
    /// listed keeps its limit.
    pub(crate) fn set_limits(&mut self, limits: &RateLimits) {
        self.region
            .set_limit(limits.region_per_s.unwrap_or(u32::MAX));
        self.shift.set_limit(limits.shift_per_s.unwrap_or(u32::MAX));
        for (origin, limit) in &limits.links_per_s {
            let window = self.links.entry(origin.clone());
            window
                .or_insert_with(|| SlidingWindow::new(*limit))
                .set_limit(*limit);
        }
    }

    /// Whether the caps allow dispatching a request from the region `origin` at `now`.
    pub(crate) fn has_room(&mut self, origin: &str, now: Duration) -> bool {
        if !self.region.has_room(now) {
            return false;
        }
        if origin == self.home_region {
            return true;
        }
        let link = self.links.get_mut(origin);
        self.shift.has_room(now) && link.is_none_or(|window| window.has_room(now))
    }

    /// Counts a dispatched request from the region `origin`.
    pub(crate) fn record(&mut self, origin: &str, now: Duration) {
        self.region.record(now);
        if origin == self.home_region {
            return;
        }
        self.shift.record(now);
        if let Some(window) = self.links.get_mut(origin) {
            window.record(now);
        }
    }
}
