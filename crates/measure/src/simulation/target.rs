//! Simulated targets.

use {balance::LoadReport, std::collections::VecDeque};

/// Index of a request, and the object that it accesses.
pub(super) type QueuedRequest = (usize, String);

/// A target with slots, a bounded queue and a cache of recently used objects.
#[derive(Debug, Clone)]
pub(super) struct SimulatedTarget {
    slots: usize,
    queue_limit: usize,
    cache_size: usize,
    running: usize,
    queued: VecDeque<QueuedRequest>,
    cached_objects: VecDeque<String>,
}

impl SimulatedTarget {
    pub(super) fn new(slots: u32, queue_limit: usize, cache_size: usize) -> Self {
        Self {
            slots: slots as usize,
            queue_limit,
            cache_size,
            running: 0,
            queued: VecDeque::new(),
            cached_objects: VecDeque::new(),
        }
    }

    /// Adds a request to the queue. Returns `false` if the queue is full.
    pub(super) fn enqueue(&mut self, request: QueuedRequest) -> bool {
        let has_room = self.running + self.queued.len() < self.slots + self.queue_limit;
        if has_room {
            self.queued.push_back(request);
        }
        has_room
    }

    /// Starts the next request in the queue if a slot is free.
    ///
    /// Returns the index of the request and whether its object is cached.
    pub(super) fn start_next(&mut self) -> Option<(usize, bool)> {
        if self.running == self.slots {
            return None;
        }
        let (index, object) = self.queued.pop_front()?;
        self.running += 1;
        let is_cached = self.cached_objects.contains(&object);
        self.cached_objects.retain(|other| *other != object);
        self.cached_objects.push_back(object);
        if self.cached_objects.len() > self.cache_size {
            self.cached_objects.pop_front();
        }
        Some((index, is_cached))
    }

    /// Frees the slot of a finished request.
    pub(super) fn finish_one(&mut self) {
        self.running -= 1;
    }

    /// Returns the load that the target would report in a response.
    pub(super) fn load_report(&self) -> LoadReport {
        LoadReport {
            running: u32::try_from(self.running).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.queued.len()).unwrap_or(u32::MAX),
            slots: u32::try_from(self.slots).unwrap_or(u32::MAX),
        }
    }
}
