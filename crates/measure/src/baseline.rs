//! Simple balancers to compare with, and the ideal of one queue that knows all.

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

const TRIES: usize = 3;
const MAX_QUEUE: Duration = Duration::from_secs(1);

/// How a balancer chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Any target.
    Random,
    /// The target with the least load reported, some time ago.
    LeastReported,
    /// The better of two by own requests and reported load.
    TwoChoices,
    /// One queue over all slots, with exact knowledge.
    Ideal,
}

impl Policy {
    /// Name for tables.
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

/// A target that a balancer may use.
#[derive(Debug, Clone)]
struct Server {
    address: SocketAddr,
    slots: u32,
}

struct Shared {
    random: StdRng,
    /// Requests of each balancer at each target.
    own: Vec<Vec<u32>>,
    /// Requests at each target, as they are and as they were reported last.
    running: Vec<u32>,
    reported: Vec<u32>,
    reported_at: Instant,
    waiting: VecDeque<oneshot::Sender<usize>>,
    sheds: u64,
}

/// Balancers that go straight to the targets, without limits of their own.
pub struct Baseline {
    policy: Policy,
    servers: Vec<Server>,
    lag: Duration,
    client: Client,
    shared: RefCell<Shared>,
}

impl Baseline {
    /// So many balancers, as many as there are VMs, before the targets of a service.
    #[must_use]
    pub fn of(
        policy: Policy,
        service: &settings::Service,
        vms: usize,
        lag: Duration,
        seed: u64,
    ) -> Self {
        let server = |target: &settings::Target| Server {
            address: target.address,
            slots: target.slots,
        };
        let servers = service.targets.iter().map(server).collect();
        Self::new(policy, servers, vms, lag, seed)
    }

    fn new(policy: Policy, servers: Vec<Server>, vms: usize, lag: Duration, seed: u64) -> Self {
        let targets = servers.len();
        Self {
            policy,
            servers,
            lag,
            client: Client::builder()
                .connector(Connector::new().limit(0))
                .disable_timeout()
                .finish(),
            shared: RefCell::new(Shared {
                random: StdRng::seed_from_u64(seed),
                own: vec![vec![0; targets]; vms],
                running: vec![0; targets],
                reported: vec![0; targets],
                reported_at: Instant::now(),
                waiting: VecDeque::new(),
                sheds: 0,
            }),
        }
    }

    /// Requests that targets refused because their slots were taken.
    #[must_use]
    pub fn sheds(&self) -> u64 {
        self.shared.borrow().sheds
    }

    /// Sends one request through a balancer.
    pub(crate) async fn send(&self, path: &str, deadline: Instant) -> Status {
        let vms = self.shared.borrow().own.len();
        let vm = self.shared.borrow_mut().random.random_range(0..vms);
        if self.policy == Policy::Ideal {
            return self.send_ideal(vm, path, deadline).await;
        }
        for _ in 0..TRIES {
            let target = self.choose(vm);
            match self.exchange(vm, target, path, deadline).await {
                Some(true) => return Status::Answered,
                Some(false) => {}
                None => return Status::MayHaveRun,
            }
        }
        Status::NotRun
    }

    async fn send_ideal(&self, vm: usize, path: &str, deadline: Instant) -> Status {
        let Some(target) = self.wait_for_slot(deadline).await else {
            return Status::NotRun;
        };
        let told = self.exchange(vm, target, path, deadline).await;
        self.pass_slot_on(target);
        if told == Some(true) {
            Status::Answered
        } else {
            Status::MayHaveRun
        }
    }

    async fn wait_for_slot(&self, deadline: Instant) -> Option<usize> {
        let granted = {
            let mut shared = self.shared.borrow_mut();
            let free = (0..self.servers.len()).find(|i| shared.own[0][*i] < self.servers[*i].slots);
            if let Some(target) = free {
                shared.own[0][target] += 1;
                return Some(target);
            }
            let slots: u32 = self.servers.iter().map(|server| server.slots).sum();
            if shared.waiting.len() > slots as usize {
                return None;
            }
            let (sender, receiver) = oneshot::channel();
            shared.waiting.push_back(sender);
            receiver
        };
        let left = deadline
            .saturating_duration_since(Instant::now())
            .min(MAX_QUEUE);
        actix_rt::time::timeout(left, granted).await.ok()?.ok()
    }

    /// Gives a slot to the next that waits, or frees it.
    fn pass_slot_on(&self, target: usize) {
        let mut shared = self.shared.borrow_mut();
        while let Some(next) = shared.waiting.pop_front() {
            if next.send(target).is_ok() {
                return;
            }
        }
        shared.own[0][target] -= 1;
    }

    fn choose(&self, vm: usize) -> usize {
        let mut shared = self.shared.borrow_mut();
        if shared.reported_at.elapsed() >= self.lag {
            let running = shared.running.clone();
            shared.reported = running;
            shared.reported_at = Instant::now();
        }
        let count = self.servers.len();
        match self.policy {
            Policy::Random | Policy::Ideal => shared.random.random_range(0..count),
            Policy::LeastReported => {
                let start = shared.random.random_range(0..count);
                let order = (0..count).map(|step| (start + step) % count);
                order
                    .min_by_key(|index| shared.reported[*index])
                    .unwrap_or(0)
            }
            Policy::TwoChoices => {
                let a = shared.random.random_range(0..count);
                let b = shared.random.random_range(0..count);
                let load = |index: usize| shared.own[vm][index] + shared.reported[index];
                if load(a) <= load(b) { a } else { b }
            }
        }
    }

    /// True for an answer, false for a refusal, none when it broke off.
    async fn exchange(
        &self,
        vm: usize,
        target: usize,
        path: &str,
        deadline: Instant,
    ) -> Option<bool> {
        self.count(vm, target, 1);
        let url = format!("http://{}{path}", self.servers[target].address);
        let answer = async {
            let mut response = self.client.get(url).send().await.ok()?;
            let body = response.body().await.ok()?;
            Some(response.status().is_success() && !body.is_empty())
        };
        let left = deadline.saturating_duration_since(Instant::now());
        let answer = actix_rt::time::timeout(left, answer).await;
        self.count(vm, target, -1);
        let answer = answer.ok().flatten();
        if answer == Some(false) {
            self.shared.borrow_mut().sheds += 1;
        }
        answer
    }

    fn count(&self, vm: usize, target: usize, change: i32) {
        let mut shared = self.shared.borrow_mut();
        shared.running[target] = shared.running[target].saturating_add_signed(change);
        if self.policy != Policy::Ideal {
            shared.own[vm][target] = shared.own[vm][target].saturating_add_signed(change);
        }
    }
}
