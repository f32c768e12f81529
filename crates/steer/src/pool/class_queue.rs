//! Queue and load of one request class.

use {
    super::moving_average::MovingAverage,
    std::{collections::VecDeque, time::Duration},
};

/// Longest expected wait at which a request is admitted, in mean service times. This is
/// just enough to keep all slots busy under overload.
const MAX_WAIT_SERVICE_TIMES: f64 = 1.5;
/// Lower bound on that wait, for services with very short requests.
const MAX_WAIT_FLOOR: Duration = Duration::from_millis(50);
/// Upper bound on that wait, whatever the service time.
pub(crate) const MAX_WAIT_CEILING: Duration = Duration::from_secs(1);

/// A request that is waiting for a slot.
#[derive(Debug, Clone)]
pub(crate) struct Waiter {
    pub(crate) ticket: u64,
    pub(crate) deadline: Duration,
    pub(crate) origin: String,
    pub(crate) avoid_target: Option<usize>,
}

/// Requests of one class that wait or run, and their mean service time.
#[derive(Debug, Clone)]
pub(crate) struct ClassQueue {
    pub(crate) queue: VecDeque<Waiter>,
    /// Admitted requests that have not been enqueued yet.
    pub(crate) reserved: u32,
    /// Requests that hold a slot.
    pub(crate) busy: u32,
    /// Mean service time.
    pub(crate) service_time: MovingAverage,
}

impl ClassQueue {
    pub(crate) fn new() -> Self {
        Self {
            queue: VecDeque::new(),
            reserved: 0,
            busy: 0,
            service_time: MovingAverage::new(),
        }
    }

    /// Returns the number of requests that are queued or reserved.
    pub(crate) fn waiting_count(&self) -> u32 {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        queued + self.reserved
    }

    /// Returns the number of requests that are queued, reserved or running.
    pub(crate) fn demand(&self) -> u32 {
        self.waiting_count() + self.busy
    }

    /// Returns the longest expected wait at which a request is admitted.
    pub(crate) fn max_wait(&self) -> Duration {
        self.service_time
            .mul_f64(MAX_WAIT_SERVICE_TIMES)
            .clamp(MAX_WAIT_FLOOR, MAX_WAIT_CEILING)
    }
}
