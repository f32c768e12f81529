//! Plays a day.

use {
    super::{
        scene::{Day, Kind},
        target::Target,
    },
    balance::{Balancer, Decision, Dispatch, EligibleTarget, Locality, PendingRequest, QueueKey},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Running times lie this part around their mean.
const SPREAD: f64 = 0.25;
const NEAR: Duration = Duration::from_millis(1);

/// What VMs know of each other's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Knowledge {
    /// Each knows what all have sent.
    All,
    /// Each knows what it sent itself, and what targets report.
    Own,
}

/// What the requests of one kind earned.
#[derive(Debug, Clone, Copy, Default)]
pub struct Earned {
    /// Requests that were sent.
    pub sent: u32,
    /// Answered within the objective.
    pub in_time: u32,
    /// Answered later.
    pub late: u32,
    /// Part of the credit that was earned.
    pub part: f64,
}

#[derive(Debug, Clone)]
struct Request {
    kind: usize,
    region: usize,
    vm: usize,
    object: String,
    arrived: Duration,
    place: Option<(usize, Dispatch)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A target has a free slot.
    Freed(usize),
    /// The answer to a request is there.
    Ran(usize),
    /// A request comes, or looks again.
    Look(usize),
}

struct Model<'a> {
    day: &'a Day,
    targets: Vec<(catalog::Target, usize)>,
    states: Vec<Target>,
    boards: Vec<Balancer>,
    requests: Vec<Request>,
    waiting: BTreeMap<QueueKey, usize>,
    queued: BTreeMap<usize, String>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    rng: StdRng,
    earned: Vec<Earned>,
}

/// Plays a day and returns what each kind earned. A refused caller does not come back.
#[must_use]
pub fn play(day: &Day, knowledge: Knowledge, seed: u64) -> Vec<(String, Earned)> {
    let mut model = Model::new(day, knowledge, seed);
    model.arrive();
    while let Some(Reverse((now, event))) = model.events.pop() {
        match event {
            Event::Look(number) => model.look(number, now),
            Event::Freed(at) => model.freed(at, now),
            Event::Ran(number) => model.ran(number, now),
        }
    }
    let names = day.kinds.iter().map(|kind| kind.name.clone());
    names.zip(model.earned).collect()
}

impl<'a> Model<'a> {
    fn new(day: &'a Day, knowledge: Knowledge, seed: u64) -> Self {
        let mut targets = Vec::new();
        let mut states = Vec::new();
        for service in &day.services {
            for (region, count) in service.targets.iter().enumerate() {
                for index in 0..*count {
                    let id = format!("{}-{region}-{index}", service.name);
                    targets.push((target(id, &service.name, service.slots), region));
                    states.push(Target::new(service.slots, service.queue, service.remembers));
                }
            }
        }
        let boards = match knowledge {
            Knowledge::All => 1,
            Knowledge::Own => day.vms * day.regions,
        };
        Self {
            day,
            targets,
            states,
            boards: vec![Balancer::default(); boards],
            requests: Vec::new(),
            waiting: BTreeMap::new(),
            queued: BTreeMap::new(),
            events: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(seed),
            earned: vec![Earned::default(); day.kinds.len()],
        }
    }

    /// Draws all arrivals, with exponential pauses.
    fn arrive(&mut self) {
        for (index, kind) in self.day.kinds.iter().enumerate() {
            let mut at = 0.0;
            loop {
                at -= (1.0 - self.rng.random::<f64>()).ln() / kind.per_s;
                if at >= self.day.seconds {
                    break;
                }
                self.add(index, kind, Duration::from_secs_f64(at));
            }
        }
    }

    fn add(&mut self, index: usize, kind: &Kind, at: Duration) {
        let region = self.rng.random_range(0..self.day.regions);
        let vm = region * self.day.vms + self.rng.random_range(0..self.day.vms);
        let object = self.rng.random_range(0..kind.objects);
        let number = self.requests.len();
        self.requests.push(Request {
            kind: index,
            region,
            vm: vm % self.boards.len(),
            object: format!("{}-{region}-{object}", kind.name),
            arrived: at,
            place: None,
        });
        self.earned[index].sent += 1;
        self.events.push(Reverse((at, Event::Look(number))));
    }

    fn look(&mut self, number: usize, now: Duration) {
        let request = self.requests[number].clone();
        let kind = &self.day.kinds[request.kind];
        let turn = QueueKey {
            priority: kind.priority,
            is_late: false,
            sequence: number as u64,
        };
        let waited = now.saturating_sub(request.arrived);
        let id = number.to_string();
        let wish = PendingRequest {
            route: &kind.name,
            service: &kind.service,
            objective: Duration::from_millis(kind.objective_ms),
            object: Some(&request.object),
            id: &id,
            queue_key: turn,
            caller_wait: waited + Duration::from_millis(self.day.caller_ms),
            local_wait: waited,
            time_left: Duration::from_millis(kind.deadline_ms).saturating_sub(waited),
        };
        let places: Vec<EligibleTarget<'_>> = places(self.day, &self.targets, kind, request.region);
        let board = &mut self.boards[request.vm];
        if waited.is_zero() {
            board.estimate_caller_wait(wish.route, wish.objective, wish.time_left);
            board.record_arrival(&wish);
        }
        let decision = board.choose_target(&wish, &places, now);
        self.leave(number, turn);
        match decision {
            Decision::Send(sent) => self.send(number, sent, now),
            Decision::Wait { target } => {
                self.boards[request.vm].queues.enqueue(&target, turn);
                self.queued.insert(number, target);
                self.waiting.insert(turn, number);
            }
            Decision::Refuse { .. } => {}
        }
    }

    fn leave(&mut self, number: usize, turn: QueueKey) {
        if let Some(target) = self.queued.remove(&number) {
            let vm = self.requests[number].vm;
            self.boards[vm].queues.remove(&target, turn);
            self.waiting.remove(&turn);
        }
    }

    fn send(&mut self, number: usize, sent: Dispatch, now: Duration) {
        let Some(at) = self.targets.iter().position(|(t, _)| t.id == sent.target) else {
            return;
        };
        let request = &mut self.requests[number];
        self.boards[request.vm].record_dispatch(&sent, None, now);
        request.place = Some((at, sent));
        let job = (number, request.object.clone());
        if self.states[at].take(job) {
            self.begin(at, now);
        } else {
            self.give_back(number, now, true);
        }
    }

    fn begin(&mut self, at: usize, now: Duration) {
        while let Some((number, known)) = self.states[at].begin() {
            let request = &self.requests[number];
            let kind = &self.day.kinds[request.kind];
            let part = if known { kind.known_part } else { 1.0 };
            let drawn = 1.0 + SPREAD * (self.rng.random::<f64>() * 2.0 - 1.0);
            let ran = Duration::from_secs_f64(kind.work_ms / 1000.0 * part * drawn);
            let way = request
                .place
                .as_ref()
                .map_or(NEAR, |(_, sent)| sent.round_trip);
            self.events.push(Reverse((now + ran, Event::Freed(at))));
            self.events
                .push(Reverse((now + ran + way, Event::Ran(number))));
        }
    }

    fn freed(&mut self, at: usize, now: Duration) {
        self.states[at].end();
        self.begin(at, now);
    }

    fn ran(&mut self, number: usize, now: Duration) {
        let request = &self.requests[number];
        let kind = &self.day.kinds[request.kind];
        let took = now.saturating_sub(request.arrived) + Duration::from_millis(self.day.caller_ms);
        let earned = &mut self.earned[request.kind];
        if took <= Duration::from_millis(kind.objective_ms) {
            earned.in_time += 1;
        } else if took <= Duration::from_millis(kind.deadline_ms) {
            earned.late += 1;
        }
        let credit =
            f64::from(earned.in_time) * kind.credit + f64::from(earned.late) * kind.late_credit;
        earned.part = credit / (f64::from(earned.sent) * kind.credit);
        self.give_back(number, now, false);
        // The most urgent look first; each in its own turn.
        let waiting: Vec<usize> = self.waiting.values().copied().collect();
        for number in waiting {
            self.look(number, now);
        }
    }

    /// Tells the VM how its request ended.
    fn give_back(&mut self, number: usize, now: Duration, shed: bool) {
        let Some((at, sent)) = self.requests[number].place.take() else {
            return;
        };
        let report = Some(self.states[at].report());
        let board = &mut self.boards[self.requests[number].vm];
        board.record_completion(&sent);
        if shed {
            board.record_rejection(&sent.target, report, now);
        } else {
            board.record_response(&sent, report, now);
        }
    }
}

/// Where a request of a region may run.
fn places<'a>(
    day: &Day,
    targets: &'a [(catalog::Target, usize)],
    kind: &Kind,
    region: usize,
) -> Vec<EligibleTarget<'a>> {
    let far = Duration::from_millis(day.round_trip_ms);
    let of_service = targets.iter().filter(|(t, _)| t.service == kind.service);
    let places = of_service.map(|(target, at)| {
        let (distance, round_trip) = if *at == region {
            (Locality::SameRegion, NEAR)
        } else {
            (Locality::OtherRegion, far)
        };
        EligibleTarget {
            target,
            locality: distance,
            round_trip,
            is_cold: false,
            has_remote_queue: false,
            is_fallback: false,
        }
    });
    places.collect()
}

fn target(id: String, service: &str, slots: u32) -> catalog::Target {
    catalog::Target {
        id,
        service: service.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: String::new(),
        slots,
        state: catalog::State::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}
