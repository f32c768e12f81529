//! Which objects a target has handled lately, as far as this VM knows.

use {std::collections::VecDeque, wire::Map};

/// Objects remembered for a target; targets remember tens of them.
const OBJECTS: usize = 32;

/// A route and an object of its requests.
type Known = (String, String);

/// The objects that this VM sent to each target, latest last.
#[derive(Debug, Clone, Default)]
pub struct RecentObjects {
    objects: Map<String, VecDeque<Known>>,
}

impl RecentObjects {
    /// Notes that a target has handled an object of a route.
    pub fn record(&mut self, target: &str, route: &str, object: &str) {
        let objects = self.objects.entry(target.to_owned()).or_default();
        objects.retain(|known| !is(known, route, object));
        if objects.len() == OBJECTS {
            objects.pop_front();
        }
        objects.push_back((route.to_owned(), object.to_owned()));
    }

    /// Whether the target has handled the object lately.
    #[must_use]
    pub fn contains(&self, target: &str, route: &str, object: &str) -> bool {
        let objects = self.objects.get(target);
        objects.is_some_and(|objects| objects.iter().any(|known| is(known, route, object)))
    }

    /// Forgets what a target knew: it started anew.
    pub fn clear_target(&mut self, target: &str) {
        self.objects.remove(target);
    }

    /// Forgets the targets that are gone.
    pub fn retain_targets(&mut self, is_known: impl Fn(&str) -> bool) {
        self.objects.retain(|id, _| is_known(id));
    }
}

fn is(known: &Known, route: &str, object: &str) -> bool {
    known.0 == route && known.1 == object
}
