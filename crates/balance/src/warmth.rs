//! Which objects a target has handled lately, as far as this VM knows.

use {std::collections::VecDeque, wire::Map};

/// Objects remembered for a target; targets remember tens of them.
const OBJECTS: usize = 24;

/// The objects that this VM sent to each target, latest last.
#[derive(Debug, Clone, Default)]
pub struct Warmth {
    objects: Map<String, VecDeque<String>>,
}

impl Warmth {
    /// Notes that a target has handled an object.
    pub fn note(&mut self, target: &str, object: &str) {
        let known = self.objects.entry(target.to_owned()).or_default();
        known.retain(|other| other != object);
        if known.len() == OBJECTS {
            known.pop_front();
        }
        known.push_back(object.to_owned());
    }

    /// Whether the target has handled the object lately.
    #[must_use]
    pub fn holds(&self, target: &str, object: &str) -> bool {
        let known = self.objects.get(target);
        known.is_some_and(|objects| objects.iter().any(|other| other == object))
    }

    /// Forgets what a target knew: it started anew.
    pub fn forget(&mut self, target: &str) {
        self.objects.remove(target);
    }

    /// Forgets the targets that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.objects.retain(|id, _| is_known(id));
    }
}
