//! Tracks which objects each target has probably cached, from the requests of this VM.

use {
    std::{collections::VecDeque, time::Duration},
    wire::Map,
};

/// Objects tracked per target. Targets cache tens of objects.
const MAX_OBJECTS_PER_TARGET: usize = 32;
/// Time constant of the rate at which an object is asked for, in seconds.
const RATE_S: f64 = 4.0;

/// An object of a route that a target handled recently.
#[derive(Debug, Clone)]
struct RecentObject {
    route: String,
    object: String,
    /// Requests for it, of which older ones count less, at the time of the last one.
    requests: f64,
    updated_at: Duration,
    /// Whether a run for it has ended there; otherwise its first run was stopped.
    is_loaded: bool,
}

/// The objects that each target handled recently for this VM, least recent first.
#[derive(Debug, Clone, Default)]
pub struct RecentObjects {
    by_target: Map<String, VecDeque<RecentObject>>,
}

impl RecentObjects {
    /// Records that a target has handled an object of a route.
    pub fn record(&mut self, target: &str, route: &str, object: &str, now: Duration) {
        let mut entry = self.take(target, route, object, now);
        entry.requests = entry.requests(now) + 1.0;
        entry.updated_at = now;
        entry.is_loaded = true;
        self.put(target, entry);
    }

    /// Records that a target began to load an object of a route, in a run that was stopped.
    pub fn record_begun(&mut self, target: &str, route: &str, object: &str, now: Duration) {
        let entry = self.take(target, route, object, now);
        self.put(target, entry);
    }

    /// Removes an object, or creates it.
    fn take(&mut self, target: &str, route: &str, object: &str, now: Duration) -> RecentObject {
        let objects = self.by_target.entry(target.to_owned()).or_default();
        let position = objects.iter().position(|entry| entry.is_of(route, object));
        let known = position.and_then(|position| objects.remove(position));
        known.unwrap_or_else(|| RecentObject {
            route: route.to_owned(),
            object: object.to_owned(),
            requests: 0.0,
            updated_at: now,
            is_loaded: false,
        })
    }

    fn put(&mut self, target: &str, entry: RecentObject) {
        let objects = self.by_target.entry(target.to_owned()).or_default();
        if objects.len() == MAX_OBJECTS_PER_TARGET {
            objects.pop_front();
        }
        objects.push_back(entry);
    }

    /// Returns whether the target has handled the object recently.
    #[must_use]
    pub fn contains(&self, target: &str, route: &str, object: &str) -> bool {
        let entry = self.find(target, route, object);
        entry.is_some_and(|entry| entry.is_loaded)
    }

    /// Returns whether the target began to load the object in a run that was stopped, and has not
    /// handled it since.
    #[must_use]
    pub fn is_begun(&self, target: &str, route: &str, object: &str) -> bool {
        let entry = self.find(target, route, object);
        entry.is_some_and(|entry| !entry.is_loaded)
    }

    /// Returns the requests per second for an object that the target has handled lately.
    #[must_use]
    pub fn requests_per_s(&self, target: &str, route: &str, object: &str, now: Duration) -> f64 {
        let entry = self.find(target, route, object);
        entry.map_or(0.0, |entry| entry.requests(now) / RATE_S)
    }

    /// Returns the number of objects that the target has handled recently.
    #[must_use]
    pub fn len(&self, target: &str) -> usize {
        self.by_target.get(target).map_or(0, VecDeque::len)
    }

    /// Discards the objects of a target that has restarted and lost its cache.
    pub fn clear_target(&mut self, target: &str) {
        self.by_target.remove(target);
    }

    /// Discards the targets for which `is_known` returns false.
    pub fn retain_targets(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_target.retain(|id, _| is_known(id));
    }

    fn find(&self, target: &str, route: &str, object: &str) -> Option<&RecentObject> {
        let objects = self.by_target.get(target)?;
        objects.iter().find(|entry| entry.is_of(route, object))
    }
}

impl RecentObject {
    fn is_of(&self, route: &str, object: &str) -> bool {
        self.route == route && self.object == object
    }

    fn requests(&self, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.updated_at).as_secs_f64();
        self.requests * (-age_s / RATE_S).exp()
    }
}
