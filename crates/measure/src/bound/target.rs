//! A target of the model.

use {balance::LoadReport, std::collections::VecDeque};

/// A request by its number, and the object that it concerns.
pub(super) type Job = (usize, String);

/// Slots, a queue and a memory of objects.
#[derive(Debug, Clone)]
pub(super) struct Target {
    slots: usize,
    queue: usize,
    remembers: usize,
    running: usize,
    waiting: VecDeque<Job>,
    objects: VecDeque<String>,
}

impl Target {
    pub(super) fn new(slots: u32, queue: usize, remembers: usize) -> Self {
        Self {
            slots: slots as usize,
            queue,
            remembers,
            running: 0,
            waiting: VecDeque::new(),
            objects: VecDeque::new(),
        }
    }

    /// Whether the request is taken.
    pub(super) fn take(&mut self, job: Job) -> bool {
        let has_room = self.running + self.waiting.len() < self.slots + self.queue;
        if has_room {
            self.waiting.push_back(job);
        }
        has_room
    }

    /// The next request that begins, and whether its object is remembered.
    pub(super) fn begin(&mut self) -> Option<(usize, bool)> {
        if self.running == self.slots {
            return None;
        }
        let (number, object) = self.waiting.pop_front()?;
        self.running += 1;
        let known = self.objects.contains(&object);
        self.objects.retain(|other| *other != object);
        self.objects.push_back(object);
        if self.objects.len() > self.remembers {
            self.objects.pop_front();
        }
        Some((number, known))
    }

    pub(super) fn end(&mut self) {
        self.running -= 1;
    }

    pub(super) fn report(&self) -> LoadReport {
        LoadReport {
            running: u32::try_from(self.running).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots: u32::try_from(self.slots).unwrap_or(u32::MAX),
        }
    }
}
