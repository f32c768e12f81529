//! Priority queues of the requests that wait at this VM for a slot of a target.

use {std::collections::BTreeSet, wire::Map};

/// Sort key of a waiting request: by priority, then requests that can still meet their
/// objective, then by the shares of customers, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueKey {
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Whether the request can no longer meet its latency objective. Within a priority such
    /// requests come last.
    pub is_late: bool,
    /// Virtual start time of the request, by which customers share what room there is
    /// ([`FairShares`](crate::FairShares)); equal for all where there are no customers.
    pub virtual_start: u64,
    /// Number that increases with each request of this VM.
    pub sequence: u64,
}

/// The queue of each target.
#[derive(Debug, Clone, Default)]
pub struct WaitQueues {
    by_target: Map<String, BTreeSet<QueueKey>>,
}

impl WaitQueues {
    /// Adds a request to a target's queue.
    pub fn enqueue(&mut self, target: &str, key: QueueKey) {
        self.by_target
            .entry(target.to_owned())
            .or_default()
            .insert(key);
    }

    /// Removes a request from a target's queue, if it is there.
    pub fn remove(&mut self, target: &str, key: QueueKey) {
        let Some(queue) = self.by_target.get_mut(target) else {
            return;
        };
        queue.remove(&key);
        if queue.is_empty() {
            self.by_target.remove(target);
        }
    }

    /// Returns how many waiting requests of a target precede the key.
    #[must_use]
    pub fn count_ahead(&self, target: &str, key: QueueKey) -> usize {
        let queue = self.by_target.get(target);
        queue.map_or(0, |queue| queue.range(..key).count())
    }

    /// Returns how many requests wait for a target.
    #[must_use]
    pub fn len(&self, target: &str) -> usize {
        self.by_target.get(target).map_or(0, BTreeSet::len)
    }
}
