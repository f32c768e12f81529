//! A target of the model.

use {balance::LoadReport, std::collections::VecDeque};

/// A request by its number, and the object that it concerns.
pub(super) type QueuedRequest = (usize, String);

/// Slots, a queue and a memory of objects.
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

    /// Whether the request is taken.
    pub(super) fn enqueue(&mut self, request: QueuedRequest) -> bool {
        let has_room = self.running + self.queued.len() < self.slots + self.queue_limit;
        if has_room {
            self.queued.push_back(request);
        }
        has_room
    }

    /// The next request that begins, and whether its object is remembered.
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

    pub(super) fn finish_one(&mut self) {
        self.running -= 1;
    }

    pub(super) fn load_report(&self) -> LoadReport {
        LoadReport {
            running: u32::try_from(self.running).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.queued.len()).unwrap_or(u32::MAX),
            slots: u32::try_from(self.slots).unwrap_or(u32::MAX),
        }
    }
}
