//! Tracks which objects each target has probably cached, from the requests of this VM.

use {std::collections::VecDeque, wire::Map};

/// Objects tracked per target. Targets cache tens of objects.
const MAX_OBJECTS_PER_TARGET: usize = 32;

/// A route and an object of its requests.
type RouteObject = (String, String);

/// The objects that each target handled recently for this VM, least recent first.
#[derive(Debug, Clone, Default)]
pub struct RecentObjects {
    by_target: Map<String, VecDeque<RouteObject>>,
}

impl RecentObjects {
    /// Records that a target has handled an object of a route.
    pub fn record(&mut self, target: &str, route: &str, object: &str) {
        let objects = self.by_target.entry(target.to_owned()).or_default();
        objects.retain(|entry| !matches(entry, route, object));
        if objects.len() == MAX_OBJECTS_PER_TARGET {
            objects.pop_front();
        }
        objects.push_back((route.to_owned(), object.to_owned()));
    }

    /// Returns whether the target has handled the object recently.
    #[must_use]
    pub fn contains(&self, target: &str, route: &str, object: &str) -> bool {
        let objects = self.by_target.get(target);
        objects.is_some_and(|objects| objects.iter().any(|entry| matches(entry, route, object)))
    }

    /// Discards the objects of a target that has restarted and lost its cache.
    pub fn clear_target(&mut self, target: &str) {
        self.by_target.remove(target);
    }

    /// Discards the targets for which `is_known` returns false.
    pub fn retain_targets(&mut self, is_known: impl Fn(&str) -> bool) {
        self.by_target.retain(|id, _| is_known(id));
    }
}

fn matches(entry: &RouteObject, route: &str, object: &str) -> bool {
    entry.0 == route && entry.1 == object
}
