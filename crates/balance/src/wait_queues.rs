//! Requests that wait at this VM for a slot of a target.

use {std::collections::BTreeSet, wire::Map};

/// Place in a queue: the more urgent come first, then those that can be in time, then the
/// earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Rank of the route; 0 goes first.
    pub priority: u32,
    /// Whether its objective is missed already; others of its rank go before it.
    pub is_late: bool,
    /// Grows with each request.
    pub sequence: u64,
}

/// The requests that wait for each target.
#[derive(Debug, Clone, Default)]
pub struct WaitQueues {
    waiting: Map<String, BTreeSet<QueueKey>>,
}

impl WaitQueues {
    /// Adds a request to a target's queue.
    pub fn enqueue(&mut self, target: &str, turn: QueueKey) {
        self.waiting
            .entry(target.to_owned())
            .or_default()
            .insert(turn);
    }

    /// Takes a request out.
    pub fn remove(&mut self, target: &str, turn: QueueKey) {
        let Some(queue) = self.waiting.get_mut(target) else {
            return;
        };
        queue.remove(&turn);
        if queue.is_empty() {
            self.waiting.remove(target);
        }
    }

    /// Requests that go before a turn.
    #[must_use]
    pub fn count_ahead(&self, target: &str, turn: QueueKey) -> usize {
        let queue = self.waiting.get(target);
        queue.map_or(0, |queue| queue.range(..turn).count())
    }

    /// Requests that wait for a target.
    #[must_use]
    pub fn len(&self, target: &str) -> usize {
        self.waiting.get(target).map_or(0, BTreeSet::len)
    }
}
