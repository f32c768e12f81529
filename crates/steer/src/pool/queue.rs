//! Admission, queueing and slot assignment.

use {
    super::{
        Admission, Completion, Grant, PoolSnapshot, RateLimits, RequestClass, SlotRequest,
        class_queue::{ClassQueue, MAX_WAIT_CEILING, Waiter},
        rate_caps::RateCaps,
        target::Target,
        types::CLASSES,
    },
    std::time::Duration,
    wire::Reason,
};

/// Retry time when a rate cap is used up: the oldest dispatches leave the window within
/// a second.
const CAP_RETRY: Duration = Duration::from_secs(1);
/// Retry time when no target is usable.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);

/// Queues and slots of one service at one site.
///
/// A single VM owns a pool and dispatches all of its requests, so its counts are exact
/// without reports from other VMs.
///
/// Either class may use all slots. When both have requests waiting, a free slot goes to
/// the class that holds fewer, so each is guaranteed half of them.
#[derive(Debug, Clone)]
pub struct Pool {
    targets: Vec<Target>,
    class_queues: [ClassQueue; CLASSES],
    caps: RateCaps,
}

impl Pool {
    /// Creates a pool in `region` with all targets idle. `targets` lists the name and the
    /// slots of each; other methods refer to a target by its index in this list.
    #[must_use]
    pub fn new(region: &str, targets: &[(&str, u32)]) -> Self {
        let targets = targets.iter();
        Self {
            targets: targets
                .map(|(name, slots)| Target::new(name, *slots))
                .collect(),
            class_queues: [ClassQueue::new(), ClassQueue::new()],
            caps: RateCaps::new(region),
        }
    }

    /// Sets the rate caps; the dispatches counted so far still count. A link that is not
    /// listed keeps its cap.
    pub fn set_rate_limits(&mut self, limits: &RateLimits) {
        self.caps.set_limits(limits);
    }

    /// Marks a target as leaving or back in use. A leaving target gets no new requests; one
    /// that comes back starts with a single slot and gets the others over a few seconds.
    ///
    /// # Panics
    /// Panics if `target` is not an index of the list that [`Pool::new`] got.
    pub fn set_leaving(&mut self, target: usize, leaving: bool, now: Duration) {
        self.targets[target].set_leaving(leaving, now);
    }

    /// Admits a request before it is enqueued, or refuses it with a retry time. Until
    /// [`Pool::cancel_reservation`] is called, the request counts as waiting.
    pub fn reserve(&mut self, request: &SlotRequest<'_>, now: Duration) -> Admission {
        let admission = self.check_admission(request, now);
        if admission == Admission::Queued {
            self.class_queue(request.class).reserved += 1;
        }
        admission
    }

    /// Ends the reservation of a request of `class`.
    pub fn cancel_reservation(&mut self, class: RequestClass) {
        let class_queue = self.class_queue(class);
        class_queue.reserved = class_queue.reserved.saturating_sub(1);
    }

    /// Enqueues a request, or refuses it with a retry time.
    pub fn enqueue(&mut self, request: &SlotRequest<'_>, now: Duration) -> Admission {
        let admission = self.check_admission(request, now);
        if admission == Admission::Queued {
            self.class_queue(request.class).queue.push_back(Waiter {
                ticket: request.ticket,
                deadline: request.deadline,
                origin: request.origin.to_owned(),
                avoid_target: request.avoid_target,
            });
        }
        admission
    }

    /// Assigns a free slot to the first waiting request that may use it. Returns `None`
    /// when no request can be dispatched.
    pub fn grant_next(&mut self, now: Duration) -> Option<Grant> {
        let non_idempotent_first = self.class_queues[1].busy < self.class_queues[0].busy;
        let order = if non_idempotent_first {
            [RequestClass::NonIdempotent, RequestClass::Idempotent]
        } else {
            [RequestClass::Idempotent, RequestClass::NonIdempotent]
        };
        order
            .into_iter()
            .find_map(|class| self.grant_to_class(class, now))
    }

    /// Frees the slot of a grant and updates the target's health and the mean service times.
    ///
    /// # Panics
    /// Panics if this pool has no target with the index of the grant.
    pub fn release(&mut self, grant: &Grant, completion: Completion, now: Duration) {
        let may_eject = self.may_eject(grant.target, now);
        let class_queue = self.class_queue(grant.class);
        class_queue.busy = class_queue.busy.saturating_sub(1);
        if let Completion::Answered(took) = completion {
            class_queue.service_time.add_sample(took);
        }
        let target = &mut self.targets[grant.target];
        target.busy = target.busy.saturating_sub(1);
        match completion {
            Completion::Answered(took) => {
                target.health.record_success();
                target.service_time.add_sample(took);
            }
            Completion::Failed => target.health.record_failure(now, may_eject),
            Completion::Shed | Completion::Unused => {}
        }
    }

    /// Removes a request from the queue. Returns `false` when it was not queued.
    pub fn remove_waiter(&mut self, ticket: u64) -> bool {
        self.class_queues.iter_mut().any(|class_queue| {
            let before = class_queue.queue.len();
            class_queue.queue.retain(|waiter| waiter.ticket != ticket);
            class_queue.queue.len() < before
        })
    }

    /// Removes the requests that can no longer be answered before their deadline, going by
    /// the mean service time. Returns their tickets.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<u64> {
        let mut expired = Vec::new();
        for class_queue in &mut self.class_queues {
            let service_time = class_queue.service_time.mul_f64(1.0);
            let is_late = |waiter: &Waiter| now + service_time > waiter.deadline;
            expired.extend(
                class_queue
                    .queue
                    .iter()
                    .filter(|waiter| is_late(waiter))
                    .map(|waiter| waiter.ticket),
            );
            class_queue.queue.retain(|waiter| !is_late(waiter));
        }
        expired
    }

    /// Empties the queue, for a pool that moves to another VM. Returns the tickets of the
    /// removed requests.
    pub fn drain_queue(&mut self) -> Vec<u64> {
        let class_queues = self.class_queues.iter_mut();
        let waiters = class_queues.flat_map(|class_queue| class_queue.queue.drain(..));
        waiters.map(|waiter| waiter.ticket).collect()
    }

    /// Returns the mean service time of a target; zero for an unknown index.
    #[must_use]
    pub fn mean_service_time(&self, target: usize) -> Duration {
        let target = self.targets.get(target);
        target.map_or(Duration::ZERO, |target| target.service_time.mul_f64(1.0))
    }

    /// Whether at least one target is not leaving.
    #[must_use]
    pub fn accepts_requests(&self) -> bool {
        self.targets.iter().any(|target| !target.is_leaving)
    }

    /// Returns the expected wait of a new request of `class`.
    #[must_use]
    pub fn expected_wait(&self, class: RequestClass, now: Duration) -> Duration {
        self.estimate_wait(class, now)
    }

    /// Returns the state of the pool and its targets.
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> PoolSnapshot {
        PoolSnapshot {
            free_slots: self
                .targets
                .iter()
                .map(|target| target.free_slots(now))
                .sum(),
            queued: self
                .class_queues
                .iter()
                .map(ClassQueue::waiting_count)
                .sum(),
            expected_wait: self.estimate_wait(RequestClass::Idempotent, now),
            targets: self
                .targets
                .iter()
                .map(|target| target.snapshot(now))
                .collect(),
        }
    }

    fn class_queue(&mut self, class: RequestClass) -> &mut ClassQueue {
        &mut self.class_queues[class.index()]
    }

    /// Refuses a request that would wait too long, miss its deadline or queue behind others
    /// that a rate cap already holds back.
    fn check_admission(&mut self, request: &SlotRequest<'_>, now: Duration) -> Admission {
        if self.total_slots(now) == 0 {
            return refusal(Reason::NoUpstream, NO_UPSTREAM_RETRY);
        }
        let wait = self.estimate_wait(request.class, now);
        let time_left = request.deadline.saturating_sub(now);
        let class_queue = self.class_queue(request.class);
        let max_wait = class_queue.max_wait().min(request.max_wait);
        if wait > max_wait || wait + class_queue.service_time.mul_f64(1.0) > time_left {
            return refusal(Reason::Overloaded, wait);
        }
        if self.is_rate_limited(request, now) {
            return refusal(Reason::CapReached, CAP_RETRY);
        }
        Admission::Queued
    }

    /// Assigns a slot to the first request of `class` that the rate caps allow.
    fn grant_to_class(&mut self, class: RequestClass, now: Duration) -> Option<Grant> {
        for index in 0..self.class_queue(class).queue.len() {
            let waiter = &self.class_queue(class).queue[index];
            let (origin, avoid_target) = (waiter.origin.clone(), waiter.avoid_target);
            if !self.caps.has_room(&origin, now) {
                continue;
            }
            let target = self.pick_target(avoid_target, now)?;
            let waiter = self.class_queue(class).queue.remove(index)?;
            self.caps.record(&origin, now);
            self.class_queue(class).busy += 1;
            self.targets[target].busy += 1;
            return Some(Grant {
                ticket: waiter.ticket,
                class,
                target,
            });
        }
        None
    }

    /// Returns the requests that may run at once on all targets.
    fn total_slots(&self, now: Duration) -> u32 {
        self.targets
            .iter()
            .map(|target| target.usable_slots(now))
            .sum()
    }

    /// Estimates the mean time until a new request of `class` gets a slot. The class can
    /// count on half of the slots, or on those that the other class leaves free if they are
    /// more.
    fn estimate_wait(&self, class: RequestClass, now: Duration) -> Duration {
        let capacity = self.total_slots(now);
        if capacity == 0 {
            return MAX_WAIT_CEILING;
        }
        let class_queue = &self.class_queues[class.index()];
        let other = &self.class_queues[1 - class.index()];
        let guaranteed = capacity.div_ceil(2);
        let usable = capacity.saturating_sub(other.demand()).max(guaranteed);
        let waiting = (class_queue.demand() + 1).saturating_sub(usable);
        let service_times = f64::from(waiting) / f64::from(usable);
        class_queue.service_time.mul_f64(service_times)
    }

    /// Returns the target with a free slot that is expected to respond first. `avoid_target`
    /// is chosen only when no other target is usable.
    fn pick_target(&self, avoid_target: Option<usize>, now: Duration) -> Option<usize> {
        let has_free_slot = |(_, target): &(usize, &Target)| target.free_slots(now) > 0;
        let is_allowed = |(index, _): &(usize, &Target)| Some(*index) != avoid_target;
        let candidates = || self.targets.iter().enumerate().filter(has_free_slot);
        let best = candidates()
            .filter(is_allowed)
            .min_by(|a, b| a.1.latency_score().total_cmp(&b.1.latency_score()));
        let mut alternatives = self.targets.iter().enumerate().filter(is_allowed);
        let no_alternative = !alternatives.any(|(_, target)| target.usable_slots(now) > 0);
        let best = best.or_else(|| candidates().next().filter(|_| no_alternative));
        best.map(|(index, _)| index)
    }

    /// Whether at least half of the targets stay in use when `target` is ejected.
    fn may_eject(&self, target: usize, now: Duration) -> bool {
        let others = self.targets.iter().enumerate();
        let ejected =
            others.filter(|(index, other)| *index != target && other.health.is_ejected(now));
        (ejected.count() + 1) * 2 <= self.targets.len()
    }

    /// Whether a rate cap is used up and other requests of the same origin already wait.
    fn is_rate_limited(&mut self, request: &SlotRequest<'_>, now: Duration) -> bool {
        if self.caps.has_room(request.origin, now) {
            return false;
        }
        let mut queue = self.class_queue(request.class).queue.iter();
        queue.any(|waiter| waiter.origin == request.origin)
    }
}

fn refusal(reason: Reason, retry_after: Duration) -> Admission {
    Admission::Refused {
        reason,
        retry_after,
    }
}
