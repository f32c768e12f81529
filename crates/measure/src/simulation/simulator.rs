//! Discrete-event simulation of VMs, balancers and targets.

use {
    super::{
        target::SimulatedTarget,
        workload::{RequestKind, Workload},
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

/// Running times are uniformly distributed around their mean, by at most this ratio.
const RUNNING_TIME_SPREAD: f64 = 0.25;
const SAME_REGION_ROUND_TRIP: Duration = Duration::from_millis(1);

/// Which requests in flight are visible to a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadView {
    /// The requests of all VMs.
    Global,
    /// Its own requests, and the load that targets report.
    Local,
}

/// Results of all requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct KindSummary {
    /// Requests that arrived.
    pub sent: u32,
    /// Requests answered within the latency objective.
    pub in_time: u32,
    /// Requests answered after the objective and within the deadline.
    pub late: u32,
    /// Earned credit as a ratio of the credit if all requests were answered in time.
    pub credit_ratio: f64,
}

#[derive(Debug, Clone)]
struct Request {
    kind: usize,
    region: usize,
    /// Index of the balancer of the VM that received the request.
    balancer: usize,
    object: String,
    arrived_at: Duration,
    /// Index of the target to which the request was sent, and the decision.
    dispatch: Option<(usize, Dispatch)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A target finished a request.
    SlotFreed(usize),
    /// The VM received the response to a request.
    ResponseReceived(usize),
    /// A request arrived.
    RequestArrived(usize),
}

struct Simulation<'a> {
    workload: &'a Workload,
    /// Targets as the balancer sees them, with the index of their region.
    targets: Vec<(catalog::Target, usize)>,
    /// State of the same targets.
    simulated_targets: Vec<SimulatedTarget>,
    /// One for all VMs, or one for each.
    balancers: Vec<Balancer>,
    requests: Vec<Request>,
    /// Indices of the requests that wait at a VM, the most urgent first.
    waiting: BTreeMap<QueueKey, usize>,
    /// Id of the target that each waiting request is queued for, by request index.
    queued_for: BTreeMap<usize, String>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    rng: StdRng,
    summaries: Vec<KindSummary>,
}

/// Simulates a workload and returns the results of each request kind with its name.
///
/// Callers do not retry a refused request. The same seed gives the same results.
#[must_use]
pub fn simulate(workload: &Workload, load_view: LoadView, seed: u64) -> Vec<(String, KindSummary)> {
    let mut simulation = Simulation::new(workload, load_view, seed);
    simulation.draw_arrivals();
    while let Some(Reverse((now, event))) = simulation.events.pop() {
        match event {
            Event::RequestArrived(index) => simulation.schedule_request(index, now),
            Event::SlotFreed(index) => simulation.handle_slot_freed(index, now),
            Event::ResponseReceived(index) => simulation.handle_response(index, now),
        }
    }
    let names = workload.kinds.iter().map(|kind| kind.name.clone());
    names.zip(simulation.summaries).collect()
}

impl<'a> Simulation<'a> {
    fn new(workload: &'a Workload, load_view: LoadView, seed: u64) -> Self {
        let mut targets = Vec::new();
        let mut simulated_targets = Vec::new();
        for service in &workload.services {
            for (region, count) in service.targets.iter().enumerate() {
                for index in 0..*count {
                    let id = format!("{}-{region}-{index}", service.name);
                    targets.push((catalog_target(id, &service.name, service.slots), region));
                    simulated_targets.push(SimulatedTarget::new(
                        service.slots,
                        service.queue,
                        service.remembers,
                    ));
                }
            }
        }
        let balancer_count = match load_view {
            LoadView::Global => 1,
            LoadView::Local => workload.vms * workload.regions,
        };
        Self {
            workload,
            targets,
            simulated_targets,
            balancers: vec![Balancer::default(); balancer_count],
            requests: Vec::new(),
            waiting: BTreeMap::new(),
            queued_for: BTreeMap::new(),
            events: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(seed),
            summaries: vec![KindSummary::default(); workload.kinds.len()],
        }
    }

    /// Adds all requests, with exponentially distributed intervals between arrivals.
    fn draw_arrivals(&mut self) {
        for (kind_index, kind) in self.workload.kinds.iter().enumerate() {
            let mut arrival_s = 0.0;
            loop {
                arrival_s -= (1.0 - self.rng.random::<f64>()).ln() / kind.per_s;
                if arrival_s >= self.workload.seconds {
                    break;
                }
                self.add_request(kind_index, kind, Duration::from_secs_f64(arrival_s));
            }
        }
    }

    /// Adds a request from a random region and VM for a random object.
    fn add_request(&mut self, kind_index: usize, kind: &RequestKind, arrived_at: Duration) {
        let region = self.rng.random_range(0..self.workload.regions);
        let vm = region * self.workload.vms + self.rng.random_range(0..self.workload.vms);
        let object = self.rng.random_range(0..kind.objects);
        let request_index = self.requests.len();
        self.requests.push(Request {
            kind: kind_index,
            region,
            balancer: vm % self.balancers.len(),
            object: format!("{}-{region}-{object}", kind.name),
            arrived_at,
            dispatch: None,
        });
        self.summaries[kind_index].sent += 1;
        self.events
            .push(Reverse((arrived_at, Event::RequestArrived(request_index))));
    }

    /// Asks the balancer to send, queue or refuse a request that arrived or waits.
    fn schedule_request(&mut self, request_index: usize, now: Duration) {
        let request = self.requests[request_index].clone();
        let kind = &self.workload.kinds[request.kind];
        let queue_key = QueueKey {
            priority: kind.priority,
            is_late: false,
            virtual_start: 0,
            sequence: request_index as u64,
        };
        let waited = now.saturating_sub(request.arrived_at);
        let id = request_index.to_string();
        let pending = PendingRequest {
            route: &kind.name,
            service: &kind.service,
            objective: Duration::from_millis(kind.objective_ms),
            object: Some(&request.object),
            id: &id,
            queue_key,
            caller_wait: waited + Duration::from_millis(self.workload.caller_ms),
            local_wait: waited,
            time_left: Duration::from_millis(kind.deadline_ms).saturating_sub(waited),
            remote_round_trip: None,
            target_counts: None,
        };
        let eligible_targets: Vec<EligibleTarget<'_>> =
            find_eligible_targets(self.workload, &self.targets, kind, request.region);
        let balancer = &mut self.balancers[request.balancer];
        if waited.is_zero() {
            balancer.estimate_caller_wait(pending.route, pending.objective, pending.time_left);
            balancer.record_arrival(&pending);
        }
        let decision = balancer.choose_target(&pending, &eligible_targets, now);
        self.leave_queue(request_index, queue_key);
        match decision {
            Decision::Send(dispatch) => self.send_request(request_index, dispatch, now),
            Decision::Wait { target } => {
                self.balancers[request.balancer]
                    .queues
                    .enqueue(&target, queue_key);
                self.queued_for.insert(request_index, target);
                self.waiting.insert(queue_key, request_index);
            }
            Decision::Refuse { .. } => {}
        }
    }

    /// Removes a request from the queue of its VM if it waits there.
    fn leave_queue(&mut self, request_index: usize, queue_key: QueueKey) {
        if let Some(target) = self.queued_for.remove(&request_index) {
            let balancer = self.requests[request_index].balancer;
            self.balancers[balancer].queues.remove(&target, queue_key);
            self.waiting.remove(&queue_key);
        }
    }

    /// Sends a request to its target, which may reject it.
    fn send_request(&mut self, request_index: usize, dispatch: Dispatch, now: Duration) {
        let Some(target_index) = self
            .targets
            .iter()
            .position(|(target, _)| target.id == dispatch.target)
        else {
            return;
        };
        let request = &mut self.requests[request_index];
        self.balancers[request.balancer].record_dispatch(&dispatch, None, now);
        request.dispatch = Some((target_index, dispatch));
        let queued = (request_index, request.object.clone());
        if self.simulated_targets[target_index].enqueue(queued) {
            self.start_requests(target_index, now);
        } else {
            self.report_end(request_index, now, true);
        }
    }

    /// Starts queued requests in all free slots of a target.
    fn start_requests(&mut self, target_index: usize, now: Duration) {
        while let Some((request_index, is_cached)) =
            self.simulated_targets[target_index].start_next()
        {
            let request = &self.requests[request_index];
            let kind = &self.workload.kinds[request.kind];
            let cost_ratio = if is_cached { kind.known_part } else { 1.0 };
            let factor = 1.0 + RUNNING_TIME_SPREAD * (self.rng.random::<f64>() * 2.0 - 1.0);
            let running_time = Duration::from_secs_f64(kind.work_ms / 1000.0 * cost_ratio * factor);
            let round_trip = request
                .dispatch
                .as_ref()
                .map_or(SAME_REGION_ROUND_TRIP, |(_, dispatch)| dispatch.round_trip);
            self.events.push(Reverse((
                now + running_time,
                Event::SlotFreed(target_index),
            )));
            self.events.push(Reverse((
                now + running_time + round_trip,
                Event::ResponseReceived(request_index),
            )));
        }
    }

    /// Frees the slot of a finished request and starts the next one.
    fn handle_slot_freed(&mut self, target_index: usize, now: Duration) {
        self.simulated_targets[target_index].finish_one();
        self.start_requests(target_index, now);
    }

    /// Counts the credit of a response and schedules the waiting requests again.
    fn handle_response(&mut self, request_index: usize, now: Duration) {
        let request = &self.requests[request_index];
        let kind = &self.workload.kinds[request.kind];
        let response_time =
            now.saturating_sub(request.arrived_at) + Duration::from_millis(self.workload.caller_ms);
        let summary = &mut self.summaries[request.kind];
        if response_time <= Duration::from_millis(kind.objective_ms) {
            summary.in_time += 1;
        } else if response_time <= Duration::from_millis(kind.deadline_ms) {
            summary.late += 1;
        }
        let credit =
            f64::from(summary.in_time) * kind.credit + f64::from(summary.late) * kind.late_credit;
        summary.credit_ratio = credit / (f64::from(summary.sent) * kind.credit);
        self.report_end(request_index, now, false);
        // Waiting requests are scheduled in the order of their queue keys, the most urgent first.
        let waiting: Vec<usize> = self.waiting.values().copied().collect();
        for request_index in waiting {
            self.schedule_request(request_index, now);
        }
    }

    /// Reports the end of a request and the load of its target to the balancer.
    fn report_end(&mut self, request_index: usize, now: Duration, was_rejected: bool) {
        let Some((target_index, dispatch)) = self.requests[request_index].dispatch.take() else {
            return;
        };
        let report = Some(self.simulated_targets[target_index].load_report());
        let balancer = &mut self.balancers[self.requests[request_index].balancer];
        balancer.record_completion(&dispatch);
        if was_rejected {
            balancer.record_rejection(&dispatch.target, report, now);
        } else {
            balancer.record_response(&dispatch, report, now);
        }
    }
}

/// Returns the targets of the service, with their distance from a region.
fn find_eligible_targets<'a>(
    workload: &Workload,
    targets: &'a [(catalog::Target, usize)],
    kind: &RequestKind,
    region: usize,
) -> Vec<EligibleTarget<'a>> {
    let other_region_round_trip = Duration::from_millis(workload.round_trip_ms);
    let service_targets = targets
        .iter()
        .filter(|(target, _)| target.service == kind.service);
    let eligible = service_targets.map(|(target, target_region)| {
        let (locality, round_trip) = if *target_region == region {
            (Locality::SameRegion, SAME_REGION_ROUND_TRIP)
        } else {
            (Locality::OtherRegion, other_region_round_trip)
        };
        EligibleTarget {
            target,
            locality,
            round_trip,
            is_cold: false,
            has_remote_queue: false,
            is_fallback: false,
        }
    });
    eligible.collect()
}

/// Returns a target that is ready and warm; the simulation ignores its address and zone.
fn catalog_target(id: String, service: &str, slots: u32) -> catalog::Target {
    catalog::Target {
        id,
        service: service.to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: String::new(),
        slots,
        state: catalog::TargetState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
        report_number: 0,
    }
}
