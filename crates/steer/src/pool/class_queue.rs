//! Requests of one class.

use {
    super::moving_average::MovingAverage,
    std::{collections::VecDeque, time::Duration},
};

/// Longest time a request may wait for a slot, in mean service times: enough for
/// the slots never to run dry under overload, and no more.
const MAX_WAIT_SERVICE_TIMES: f64 = 1.5;
const MAX_WAIT_FLOOR: Duration = Duration::from_millis(50);
/// Bound on the wait of any request.
pub(crate) const MAX_WAIT_CEILING: Duration = Duration::from_secs(1);

/// A request that waits for a slot.
#[derive(Debug, Clone)]
pub(crate) struct Waiter {
    pub(crate) ticket: u64,
    pub(crate) deadline: Duration,
    pub(crate) origin: String,
    pub(crate) avoid_target: Option<usize>,
}

/// Work of one class: what waits, what runs and how long it takes.
#[derive(Debug, Clone)]
pub(crate) struct ClassQueue {
    pub(crate) queue: VecDeque<Waiter>,
    /// Requests that were let in and will be offered soon.
    pub(crate) reserved: u32,
    pub(crate) busy: u32,
    pub(crate) service: MovingAverage,
}

impl ClassQueue {
    pub(crate) fn new() -> Self {
        Self {
            queue: VecDeque::new(),
            reserved: 0,
            busy: 0,
            service: MovingAverage::new(),
        }
    }

    /// Requests that wait or will wait soon.
    pub(crate) fn waiting(&self) -> u32 {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        queued + self.reserved
    }

    /// Requests that wait or run.
    pub(crate) fn demand(&self) -> u32 {
        self.waiting() + self.busy
    }

    /// Longest expected wait at which a request is let in.
    pub(crate) fn max_wait(&self) -> Duration {
        self.service
            .multiplied_by(MAX_WAIT_SERVICE_TIMES)
            .clamp(MAX_WAIT_FLOOR, MAX_WAIT_CEILING)
    }
}
