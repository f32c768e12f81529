//! Rates that a pool keeps.

use {super::Limits, crate::Window, std::time::Duration, wire::Map};

/// Sliding windows of a pool's dispatches.
#[derive(Debug, Clone)]
pub(crate) struct Caps {
    home: String,
    region: Window,
    shift: Window,
    links: Map<String, Window>,
}

impl Caps {
    /// No caps, for a pool in the region `home`.
    pub(crate) fn new(home: &str) -> Self {
        Self {
            home: home.to_owned(),
            region: Window::new(u32::MAX),
            shift: Window::new(u32::MAX),
            links: Map::default(),
        }
    }

    /// Puts rates in force, and keeps what was counted.
    pub(crate) fn set(&mut self, limits: &Limits) {
        self.region.set_limit(limits.region.unwrap_or(u32::MAX));
        self.shift.set_limit(limits.shift.unwrap_or(u32::MAX));
        for (origin, limit) in &limits.links {
            let window = self.links.entry(origin.clone());
            window
                .or_insert_with(|| Window::new(*limit))
                .set_limit(*limit);
        }
    }

    /// Whether a request of a caller in the region `origin` may be dispatched now.
    pub(crate) fn fit(&mut self, origin: &str, now: Duration) -> bool {
        if !self.region.fits(now) {
            return false;
        }
        if origin == self.home {
            return true;
        }
        let link = self.links.get_mut(origin);
        self.shift.fits(now) && link.is_none_or(|window| window.fits(now))
    }

    /// Counts a dispatch.
    pub(crate) fn record(&mut self, origin: &str, now: Duration) {
        self.region.record(now);
        if origin == self.home {
            return;
        }
        self.shift.record(now);
        if let Some(window) = self.links.get_mut(origin) {
            window.record(now);
        }
    }
}
