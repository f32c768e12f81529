//! Who gets which slot.

use {
    super::{
        Admission, Class, End, Grant, Limits, Offer, Snapshot,
        caps::Caps,
        lane::{Lane, MAX_MAX_WAIT, Waiter},
        target::Target,
        types::CLASSES,
    },
    std::time::Duration,
    wire::Reason,
};

/// A cap's window is used up; what was dispatched first leaves it within a second.
const CAP_RETRY: Duration = Duration::from_secs(1);
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);

/// The queue and the slots of one service at one site. One VM owns a pool, so
/// its counts are exact and need no report.
///
/// Both classes may use all slots; where both ask for more, a free slot goes to
/// the class that holds fewer, so each is sure of half.
#[derive(Debug, Clone)]
pub struct Pool {
    targets: Vec<Target>,
    lanes: [Lane; CLASSES],
    caps: Caps,
}

impl Pool {
    /// Starts with all targets idle; `targets` are names and slots.
    #[must_use]
    pub fn new(region: &str, targets: &[(&str, u32)]) -> Self {
        let targets = targets.iter();
        Self {
            targets: targets
                .map(|(name, slots)| Target::new(name, *slots))
                .collect(),
            lanes: [Lane::new(), Lane::new()],
            caps: Caps::new(region),
        }
    }

    /// Puts rates in force.
    pub fn set_limits(&mut self, limits: &Limits) {
        self.caps.set(limits);
    }

    /// Marks a target as leaving or back. A target that comes back starts cold.
    pub fn set_leaving(&mut self, target: usize, leaving: bool, now: Duration) {
        self.targets[target].set_leaving(leaving, now);
    }

    /// Lets a request in ahead of its offer, or says when to come back. The
    /// reservation ends with [`Pool::offer`] or [`Pool::cancel`].
    pub fn reserve(&mut self, offer: &Offer<'_>, now: Duration) -> Admission {
        let verdict = self.judge(offer, now);
        if verdict == Admission::Queued {
            self.lane(offer.class).reserved += 1;
        }
        verdict
    }

    /// Ends a reservation without an offer.
    pub fn cancel(&mut self, class: Class) {
        let lane = self.lane(class);
        lane.reserved = lane.reserved.saturating_sub(1);
    }

    /// Takes a request into the queue, or says when to come back.
    pub fn offer(&mut self, offer: &Offer<'_>, now: Duration) -> Admission {
        let verdict = self.judge(offer, now);
        if verdict == Admission::Queued {
            self.lane(offer.class).queue.push_back(Waiter {
                ticket: offer.ticket,
                deadline: offer.deadline,
                origin: offer.origin.to_owned(),
                avoid: offer.avoid,
            });
        }
        verdict
    }

    /// Gives the next free slot to the first waiting request that may use it.
    pub fn grant(&mut self, now: Duration) -> Option<Grant> {
        let once_first = self.lanes[1].busy < self.lanes[0].busy;
        let order = if once_first {
            [Class::Once, Class::Idempotent]
        } else {
            [Class::Idempotent, Class::Once]
        };
        order
            .into_iter()
            .find_map(|class| self.grant_class(class, now))
    }

    /// Gives a slot back.
    pub fn release(&mut self, grant: &Grant, end: End, now: Duration) {
        let may_eject = self.may_eject(grant.target, now);
        let lane = self.lane(grant.class);
        lane.busy = lane.busy.saturating_sub(1);
        if let End::Answered(took) = end {
            lane.service.add(took);
        }
        let target = &mut self.targets[grant.target];
        target.busy = target.busy.saturating_sub(1);
        match end {
            End::Answered(took) => {
                target.health.succeed();
                target.service.add(took);
            }
            End::Failed => target.health.fail(now, may_eject),
            End::Shed | End::Unused => {}
        }
    }

    /// Takes a waiting request out of the queue; false when it is not waiting.
    pub fn abandon(&mut self, ticket: u64) -> bool {
        self.lanes.iter_mut().any(|lane| {
            let before = lane.queue.len();
            lane.queue.retain(|waiter| waiter.ticket != ticket);
            lane.queue.len() < before
        })
    }

    /// Takes out the requests that could no longer be answered in time.
    pub fn expire(&mut self, now: Duration) -> Vec<u64> {
        let mut out = Vec::new();
        for lane in &mut self.lanes {
            let service = lane.service.times(1.0);
            let late = |waiter: &Waiter| now + service > waiter.deadline;
            out.extend(lane.queue.iter().filter(|w| late(w)).map(|w| w.ticket));
            lane.queue.retain(|waiter| !late(waiter));
        }
        out
    }

    /// Empties the queue, as when the pool moves to another VM.
    pub fn drain(&mut self) -> Vec<u64> {
        let lanes = self.lanes.iter_mut();
        let waiters = lanes.flat_map(|lane| lane.queue.drain(..));
        waiters.map(|waiter| waiter.ticket).collect()
    }

    /// Mean time that a target takes for a request.
    #[must_use]
    pub fn service_time(&self, target: usize) -> Duration {
        let target = self.targets.get(target);
        target.map_or(Duration::ZERO, |target| target.service.times(1.0))
    }

    /// Whether any target is not leaving.
    #[must_use]
    pub fn takes_work(&self) -> bool {
        self.targets.iter().any(|target| !target.leaving)
    }

    /// Expected wait of a new request of a class.
    #[must_use]
    pub fn wait(&self, class: Class, now: Duration) -> Duration {
        self.expected_wait(class, now)
    }

    /// What the pool looks like.
    #[must_use]
    pub fn snapshot(&self, now: Duration) -> Snapshot {
        Snapshot {
            free: self.targets.iter().map(|target| target.free(now)).sum(),
            queued: self.lanes.iter().map(Lane::ahead).sum(),
            wait: self.expected_wait(Class::Idempotent, now),
            targets: self
                .targets
                .iter()
                .map(|target| target.snapshot(now))
                .collect(),
        }
    }

    fn lane(&mut self, class: Class) -> &mut Lane {
        &mut self.lanes[class.index()]
    }

    fn judge(&mut self, offer: &Offer<'_>, now: Duration) -> Admission {
        if self.capacity(now) == 0 {
            return refused(Reason::NoUpstream, NO_UPSTREAM_RETRY);
        }
        let wait = self.expected_wait(offer.class, now);
        let left = offer.deadline.saturating_sub(now);
        let lane = self.lane(offer.class);
        let most = lane.max_wait().min(offer.patience);
        if wait > most || wait + lane.service.times(1.0) > left {
            return refused(Reason::Overloaded, wait);
        }
        if self.capped(offer, now) {
            return refused(Reason::CapReached, CAP_RETRY);
        }
        Admission::Queued
    }

    fn grant_class(&mut self, class: Class, now: Duration) -> Option<Grant> {
        for index in 0..self.lane(class).queue.len() {
            let waiter = &self.lane(class).queue[index];
            let (origin, avoid) = (waiter.origin.clone(), waiter.avoid);
            if !self.caps.fit(&origin, now) {
                continue;
            }
            let target = self.pick(avoid, now)?;
            let waiter = self.lane(class).queue.remove(index)?;
            self.caps.record(&origin, now);
            self.lane(class).busy += 1;
            self.targets[target].busy += 1;
            return Some(Grant {
                ticket: waiter.ticket,
                class,
                target,
            });
        }
        None
    }

    fn capacity(&self, now: Duration) -> u32 {
        self.targets
            .iter()
            .map(|target| target.allowance(now))
            .sum()
    }

    /// Mean time until a new request of a class would get a slot.
    fn expected_wait(&self, class: Class, now: Duration) -> Duration {
        let capacity = self.capacity(now);
        if capacity == 0 {
            return MAX_MAX_WAIT;
        }
        let lane = &self.lanes[class.index()];
        let other = &self.lanes[1 - class.index()];
        let sure = capacity.div_ceil(2);
        let usable = capacity.saturating_sub(other.demand()).max(sure);
        let waiting = (lane.demand() + 1).saturating_sub(usable);
        let services = f64::from(waiting) / f64::from(usable);
        lane.service.times(services)
    }

    /// The target that is expected to answer first among those with a free slot.
    fn pick(&self, avoid: Option<usize>, now: Duration) -> Option<usize> {
        let free = |(_, target): &(usize, &Target)| target.free(now) > 0;
        let others = |(index, _): &(usize, &Target)| Some(*index) != avoid;
        let open = || self.targets.iter().enumerate().filter(free);
        let best = open()
            .filter(others)
            .min_by(|a, b| a.1.score().total_cmp(&b.1.score()));
        let mut others_usable = self.targets.iter().enumerate().filter(others);
        let alone = !others_usable.any(|(_, target)| target.allowance(now) > 0);
        let best = best.or_else(|| open().next().filter(|_| alone));
        best.map(|(index, _)| index)
    }

    /// At most half of the targets may be out of use through failures.
    fn may_eject(&self, target: usize, now: Duration) -> bool {
        let others = self.targets.iter().enumerate();
        let out = others.filter(|(index, t)| *index != target && t.health.ejected(now));
        (out.count() + 1) * 2 <= self.targets.len()
    }

    /// Whether a rate is used up and others of the same origin already wait for it.
    fn capped(&mut self, offer: &Offer<'_>, now: Duration) -> bool {
        if self.caps.fit(offer.origin, now) {
            return false;
        }
        let mut queue = self.lane(offer.class).queue.iter();
        queue.any(|waiter| waiter.origin == offer.origin)
    }
}

fn refused(reason: Reason, retry_after: Duration) -> Admission {
    Admission::Refused {
        reason,
        retry_after,
    }
}
