//! Baseline load balancers: simple policies, and an ideal one with a global queue and exact
//! knowledge.

use {
    awc::{Client, Connector},
    rand::{Rng, SeedableRng, rngs::StdRng},
    stand::caller::Status,
    std::{
        cell::RefCell,
        collections::VecDeque,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

const MAX_ATTEMPTS: usize = 3;
/// Longest wait in the queue of the ideal policy.
const MAX_QUEUE_WAIT: Duration = Duration::from_secs(1);

/// How a baseline balancer chooses a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// A random target.
    Random,
    /// The target with the least reported load. Reports may be as old as the maximum
    /// report age.
    LeastReported,
    /// The less loaded of two random targets, by the requests of this balancer in flight there
    /// plus the reported load.
    TwoChoices,
    /// A global queue for the slots of all targets, with exact knowledge of free slots.
    Ideal,
}

impl Policy {
    /// Name on the command line and in tables.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastReported => "least-reported",
            Self::TwoChoices => "two-choices",
            Self::Ideal => "ideal",
        }
    }
}

/// Address of a target, and the number of requests that it runs concurrently.
#[derive(Debug, Clone)]
struct Target {
    address: SocketAddr,
    slots: u32,
}

/// State shared by all balancers.
struct State {
    rng: StdRng,
    /// Requests in flight by balancer and target. The ideal policy counts the occupied slots of
    /// all balancers in the first row.
    in_flight_by_vm: Vec<Vec<u32>>,
    /// Requests in flight at each target, from all balancers.
    in_flight: Vec<u32>,
    /// Copy of `in_flight` from the last report.
    reported_in_flight: Vec<u32>,
    reported_at: Instant,
    /// Requests that wait for a slot; each receives the index of a target.
    waiters: VecDeque<oneshot::Sender<usize>>,
    shed_count: u64,
}

/// Load balancers, one for each VM, that send requests directly to the targets.
///
/// They do not limit the requests in flight, except with [`Policy::Ideal`].
pub struct Baseline {
    policy: Policy,
    targets: Vec<Target>,
    max_report_age: Duration,
    client: Client,
    state: RefCell<State>,
}

impl Baseline {
    /// Creates `vm_count` balancers for the targets of a service.
    ///
    /// Reported load is at most `max_report_age` old when a target is chosen. `seed` makes the
    /// random choices repeatable.
    #[must_use]
    pub fn for_service(
        policy: Policy,
        service: &settings::Service,
        vm_count: usize,
        max_report_age: Duration,
        seed: u64,
    ) -> Self {
        let build_target = |target: &settings::Target| Target {
            address: target.address,
            slots: target.slots,
        };
        let targets = service.targets.iter().map(build_target).collect();
        Self::new(policy, targets, vm_count, max_report_age, seed)
    }

    fn new(
        policy: Policy,
        targets: Vec<Target>,
        vm_count: usize,
        max_report_age: Duration,
        seed: u64,
    ) -> Self {
        let target_count = targets.len();
        Self {
            policy,
            targets,
            max_report_age,
            client: Client::builder()
                .connector(Connector::new().limit(0))
                .disable_timeout()
                .finish(),
            state: RefCell::new(State {
                rng: StdRng::seed_from_u64(seed),
                in_flight_by_vm: vec![vec![0; target_count]; vm_count],
                in_flight: vec![0; target_count],
                reported_in_flight: vec![0; target_count],
                reported_at: Instant::now(),
                waiters: VecDeque::new(),
                shed_count: 0,
            }),
        }
    }

    /// Returns the number of requests that targets rejected because no slot was free.
    #[must_use]
    pub fn shed_count(&self) -> u64 {
        self.state.borrow().shed_count
    }

    /// Sends a request through a random balancer.
    ///
    /// A rejected request is sent again to a newly chosen target, at most `MAX_ATTEMPTS` times
    /// in total.
    pub(crate) async fn send(&self, path: &str, deadline: Instant) -> Status {
        let vm_count = self.state.borrow().in_flight_by_vm.len();
        let vm = self.state.borrow_mut().rng.random_range(0..vm_count);
        if self.policy == Policy::Ideal {
            return self.send_ideal(vm, path, deadline).await;
        }
        for _ in 0..MAX_ATTEMPTS {
            let target = self.choose_target(vm);
            match self.send_to_target(vm, target, path, deadline).await {
                Some(true) => return Status::Answered,
                Some(false) => {}
                None => return Status::MayHaveRun,
            }
        }
        Status::NotRun
    }

    /// Sends a request as soon as any target has a free slot.
    async fn send_ideal(&self, vm: usize, path: &str, deadline: Instant) -> Status {
        let Some(target) = self.wait_for_slot(deadline).await else {
            return Status::NotRun;
        };
        let accepted = self.send_to_target(vm, target, path, deadline).await;
        self.release_slot(target);
        if accepted == Some(true) {
            Status::Answered
        } else {
            Status::MayHaveRun
        }
    }

    /// Occupies a slot and returns the index of its target, or `None` if the queue is full or no
    /// slot becomes free in time.
    async fn wait_for_slot(&self, deadline: Instant) -> Option<usize> {
        let slot_granted = {
            let mut state = self.state.borrow_mut();
            let free_target = (0..self.targets.len())
                .find(|i| state.in_flight_by_vm[0][*i] < self.targets[*i].slots);
            if let Some(target) = free_target {
                state.in_flight_by_vm[0][target] += 1;
                return Some(target);
            }
            let slots: u32 = self.targets.iter().map(|target| target.slots).sum();
            if state.waiters.len() > slots as usize {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            state.waiters.push_back(sender);
            receiver
        };
        let time_left = deadline
            .saturating_duration_since(Instant::now())
            .min(MAX_QUEUE_WAIT);
        actix_rt::time::timeout(time_left, slot_granted)
            .await
            .ok()?
            .ok()
    }

    /// Passes an occupied slot to the next waiting request, or frees it if none waits.
    fn release_slot(&self, target: usize) {
        let mut state = self.state.borrow_mut();
        while let Some(waiter) = state.waiters.pop_front() {
            if waiter.send(target).is_ok() {
                return;
            }
        }
        state.in_flight_by_vm[0][target] -= 1;
    }

    /// Returns the index of the target to which a balancer sends its next request.
    fn choose_target(&self, vm: usize) -> usize {
        let mut state = self.state.borrow_mut();
        if state.reported_at.elapsed() >= self.max_report_age {
            let in_flight = state.in_flight.clone();
            state.reported_in_flight = in_flight;
            state.reported_at = Instant::now();
        }
        let count = self.targets.len();
        match self.policy {
            Policy::Random | Policy::Ideal => state.rng.random_range(0..count),
            Policy::LeastReported => {
                let first = state.rng.random_range(0..count);
                let candidates = (0..count).map(|step| (first + step) % count);
                candidates
                    .min_by_key(|index| state.reported_in_flight[*index])
                    .unwrap_or(0)
            }
            Policy::TwoChoices => {
                let a = state.rng.random_range(0..count);
                let b = state.rng.random_range(0..count);
                let load = |index: usize| {
                    state.in_flight_by_vm[vm][index] + state.reported_in_flight[index]
                };
                if load(a) <= load(b) { a } else { b }
            }
        }
    }

    /// Sends a request to a target. Returns `true` for a response, `false` for a rejection and
    /// `None` if the connection failed or the deadline passed.
    async fn send_to_target(
        &self,
        vm: usize,
        target: usize,
        path: &str,
        deadline: Instant,
    ) -> Option<bool> {
        self.adjust_in_flight(vm, target, 1);
        let url = format!("http://{}{path}", self.targets[target].address);
        let response = async {
            let mut response = self.client.get(url).send().await.ok()?;
            let body = response.body().await.ok()?;
            Some(response.status().is_success() && !body.is_empty())
        };
        let time_left = deadline.saturating_duration_since(Instant::now());
        let response = actix_rt::time::timeout(time_left, response).await;
        self.adjust_in_flight(vm, target, -1);
        let response = response.ok().flatten();
        if response == Some(false) {
            self.state.borrow_mut().shed_count += 1;
        }
        response
    }

    fn adjust_in_flight(&self, vm: usize, target: usize, change: i32) {
        let mut state = self.state.borrow_mut();
        state.in_flight[target] = state.in_flight[target].saturating_add_signed(change);
        if self.policy != Policy::Ideal {
            state.in_flight_by_vm[vm][target] =
                state.in_flight_by_vm[vm][target].saturating_add_signed(change);
        }
    }
}
