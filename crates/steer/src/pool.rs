//! The queue and the slots of one service at one site.

use {
    crate::{Health, Window},
    std::{collections::VecDeque, time::Duration},
    wire::{Map, Reason},
};

/// Longest time a request may wait for a slot, in mean service times: enough for
/// the slots never to run dry under overload, and no more.
const MAX_WAIT_SERVICES: f64 = 1.5;
const MIN_MAX_WAIT: Duration = Duration::from_millis(50);
const MAX_MAX_WAIT: Duration = Duration::from_secs(1);
/// A cap's window is used up; what was dispatched first leaves it within a second.
const CAP_RETRY: Duration = Duration::from_secs(1);
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(500);
const FIRST_SERVICE_MS: f64 = 50.0;
const SERVICE_WEIGHT: f64 = 0.05;
/// Time over which a target that was cold gets its slots back one by one.
const WARM_UP: Duration = Duration::from_secs(3);

/// The two kinds of work that share a pool without starving each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Class {
    /// Look-ups and browsing, which may run twice.
    Idempotent,
    /// Claims, payouts and the like, which run at most once.
    Once,
}

const CLASSES: usize = 2;

impl Class {
    fn index(self) -> usize {
        match self {
            Self::Idempotent => 0,
            Self::Once => 1,
        }
    }
}

/// Work of one class.
#[derive(Debug, Clone)]
struct Lane {
    queue: VecDeque<Waiter>,
    /// Requests that were let in and will be offered soon.
    reserved: u32,
    busy: u32,
    service_ms: f64,
}

impl Lane {
    fn new() -> Self {
        Self {
            queue: VecDeque::new(),
            reserved: 0,
            busy: 0,
            service_ms: FIRST_SERVICE_MS,
        }
    }

    fn ahead(&self) -> u32 {
        let queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        queued + self.reserved
    }

    fn demand(&self) -> u32 {
        self.ahead() + self.busy
    }

    fn max_wait(&self) -> Duration {
        let wait = Duration::from_secs_f64(self.service_ms * MAX_WAIT_SERVICES / 1000.0);
        wait.clamp(MIN_MAX_WAIT, MAX_MAX_WAIT)
    }

    fn service(&self) -> Duration {
        Duration::from_secs_f64(self.service_ms / 1000.0)
    }
}

/// A target as the pool uses it.
#[derive(Debug, Clone)]
struct Target {
    name: String,
    slots: u32,
    busy: u32,
    leaving: bool,
    health: Health,
    service_ms: f64,
    warm_from: Option<Duration>,
}

/// A request that waits for a slot.
#[derive(Debug, Clone)]
struct Waiter {
    ticket: u64,
    deadline: Duration,
    origin: String,
    avoid: Option<usize>,
}

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct Offer<'a> {
    /// Number that names the request to the pool.
    pub ticket: u64,
    /// Kind of its work.
    pub class: Class,
    /// When its caller stops waiting.
    pub deadline: Duration,
    /// Region of its caller.
    pub origin: &'a str,
    /// Target that failed it before.
    pub avoid: Option<usize>,
    /// Longest expected wait that it accepts; another site would be sooner.
    pub patience: Duration,
}

/// What the pool says to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It waits, or a slot is granted by the next [`Pool::grant`].
    Queued,
    /// It is not taken.
    Refused {
        /// Why.
        reason: Reason,
        /// When a slot is expected to be free.
        retry_after: Duration,
    },
}

/// A slot given to a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The request.
    pub ticket: u64,
    /// Kind of its work.
    pub class: Class,
    /// Position of the target.
    pub target: usize,
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The whole answer came, after this time.
    Answered(Duration),
    /// The target refused to run it.
    Shed,
    /// The target could not be reached, broke off or stayed silent.
    Failed,
    /// The slot was not used.
    Unused,
}

/// Rates that the pool may not exceed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Limits {
    /// The pool's part of its region's cap, in requests a second.
    pub region: Option<u32>,
    /// The preset's cap on requests from other regions, in requests a second.
    pub shift: Option<u32>,
    /// The pool's part of each link's cap by the region of the edge, in requests a second.
    pub links: Vec<(String, u32)>,
}

/// What a pool looks like, for reports and dumps.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Slots that are free in targets that take new work.
    pub free: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Expected wait of a new request.
    pub wait: Duration,
    /// Each target.
    pub targets: Vec<TargetSnapshot>,
}

/// What a target looks like.
#[derive(Debug, Clone)]
pub struct TargetSnapshot {
    /// Name of the target.
    pub name: String,
    /// Slots in use.
    pub busy: u32,
    /// Slots it has.
    pub slots: u32,
    /// Whether it takes no new work because an operator said so.
    pub leaving: bool,
    /// Whether it takes no new work because it failed.
    pub ejected: bool,
    /// Mean service time in milliseconds.
    pub service_ms: f64,
}

/// The queue and the slots of one service at one site. One VM owns a pool, so
/// its counts are exact and need no report.
///
/// Both classes may use all slots; where both ask for more, a free slot goes to
/// the class that holds fewer, so each is sure of half.
#[derive(Debug, Clone)]
pub struct Pool {
    region: String,
    targets: Vec<Target>,
    lanes: [Lane; CLASSES],
    region_window: Window,
    shift_window: Window,
    link_windows: Map<String, Window>,
}

impl Pool {
    /// Starts with all targets idle; `targets` are names and slots.
    #[must_use]
    pub fn new(region: &str, targets: &[(&str, u32)]) -> Self {
        let idle = |(name, slots): &(&str, u32)| Target {
            name: (*name).to_owned(),
            slots: *slots,
            busy: 0,
            leaving: false,
            health: Health::default(),
            service_ms: FIRST_SERVICE_MS,
            warm_from: None,
        };
        Self {
            region: region.to_owned(),
            targets: targets.iter().map(idle).collect(),
            lanes: [Lane::new(), Lane::new()],
            region_window: Window::new(u32::MAX),
            shift_window: Window::new(u32::MAX),
            link_windows: Map::default(),
        }
    }

    /// Puts rates in force.
    pub fn set_limits(&mut self, limits: &Limits) {
        self.region_window
            .set_limit(limits.region.unwrap_or(u32::MAX));
        self.shift_window
            .set_limit(limits.shift.unwrap_or(u32::MAX));
        for (origin, limit) in &limits.links {
            let window = self.link_windows.entry(origin.clone());
            window
                .or_insert_with(|| Window::new(*limit))
                .set_limit(*limit);
        }
    }

    /// Marks a target as leaving or back. A target that comes back starts cold.
    pub fn set_leaving(&mut self, target: usize, leaving: bool, now: Duration) {
        let target = &mut self.targets[target];
        if target.leaving && !leaving {
            target.warm_from = Some(now);
            target.health = Health::default();
        }
        target.leaving = leaving;
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
            blend(&mut lane.service_ms, took);
        }
        let target = &mut self.targets[grant.target];
        target.busy = target.busy.saturating_sub(1);
        match end {
            End::Answered(took) => {
                target.health.succeed();
                blend(&mut target.service_ms, took);
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
            let service = lane.service();
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
        let ms = target.map_or(FIRST_SERVICE_MS, |target| target.service_ms);
        Duration::from_secs_f64(ms / 1000.0)
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
        let free = |target: &Target| allowance(target, now).saturating_sub(target.busy);
        let view = |target: &Target| TargetSnapshot {
            name: target.name.clone(),
            busy: target.busy,
            slots: target.slots,
            leaving: target.leaving,
            ejected: target.health.ejected(now),
            service_ms: target.service_ms,
        };
        Snapshot {
            free: self.targets.iter().map(free).sum(),
            queued: self.lanes.iter().map(Lane::ahead).sum(),
            wait: self.expected_wait(Class::Idempotent, now),
            targets: self.targets.iter().map(view).collect(),
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
        if wait > most || wait + lane.service() > left {
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
            if !self.caps_fit(&origin, now) {
                continue;
            }
            let target = self.pick(avoid, now)?;
            let waiter = self.lane(class).queue.remove(index)?;
            self.record_caps(&origin, now);
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
        self.targets.iter().map(|t| allowance(t, now)).sum()
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
        let seconds = f64::from(waiting) * lane.service_ms / 1000.0 / f64::from(usable);
        Duration::from_secs_f64(seconds)
    }

    /// The target that is expected to answer first among those with a free slot.
    fn pick(&self, avoid: Option<usize>, now: Duration) -> Option<usize> {
        let free = |(_, target): &(usize, &Target)| target.busy < allowance(target, now);
        let others = |(index, _): &(usize, &Target)| Some(*index) != avoid;
        let open = || self.targets.iter().enumerate().filter(free);
        let best = open()
            .filter(others)
            .min_by(|a, b| score(a.1).total_cmp(&score(b.1)));
        let mut others_usable = self.targets.iter().enumerate().filter(others);
        let alone = !others_usable.any(|(_, target)| allowance(target, now) > 0);
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
        if self.caps_fit(offer.origin, now) {
            return false;
        }
        let mut queue = self.lane(offer.class).queue.iter();
        queue.any(|waiter| waiter.origin == offer.origin)
    }

    fn caps_fit(&mut self, origin: &str, now: Duration) -> bool {
        if !self.region_window.fits(now) {
            return false;
        }
        if origin == self.region {
            return true;
        }
        let link = self.link_windows.get_mut(origin);
        self.shift_window.fits(now) && link.is_none_or(|window| window.fits(now))
    }

    fn record_caps(&mut self, origin: &str, now: Duration) {
        self.region_window.record(now);
        if origin == self.region {
            return;
        }
        self.shift_window.record(now);
        if let Some(window) = self.link_windows.get_mut(origin) {
            window.record(now);
        }
    }
}

fn refused(reason: Reason, retry_after: Duration) -> Admission {
    Admission::Refused {
        reason,
        retry_after,
    }
}

/// Moves a mean towards a new sample.
fn blend(mean_ms: &mut f64, took: Duration) {
    let took_ms = took.as_secs_f64() * 1000.0;
    *mean_ms += (took_ms - *mean_ms) * SERVICE_WEIGHT;
}

fn score(target: &Target) -> f64 {
    let load = f64::from(target.busy + 1) / f64::from(target.slots.max(1));
    load * target.service_ms
}

/// Requests that a target may have at once now.
fn allowance(target: &Target, now: Duration) -> u32 {
    if target.leaving {
        return 0;
    }
    let warm = match target.warm_from {
        Some(from) if now < from + WARM_UP => ramp(target.slots, now.saturating_sub(from)),
        _ => target.slots,
    };
    warm.min(target.health.allowance(target.slots, now))
}

/// One slot at once, the others spread evenly over [`WARM_UP`].
fn ramp(slots: u32, since: Duration) -> u32 {
    let part = since.as_secs_f64() / WARM_UP.as_secs_f64();
    let extra = (1..slots).filter(|slot| f64::from(*slot) <= part * f64::from(slots - 1));
    1 + u32::try_from(extra.count()).unwrap_or(0)
}
