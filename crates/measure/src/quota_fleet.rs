//! VMs that keep the quota of one customer together and pass their messages through memory.
//!
//! Serves the tests of failures and the benchmark of `customer::quota`; nothing of it is specific to
//! a schedule.

use {
    customer::{
        RateLimit,
        quota::{
            self, Allowances, Entitlement, Grant, Grantor, Handover, Query, Refusal, Rule, Stance,
            Step, rank_grantors,
        },
    },
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
    wire::{Member, Revision, Status},
};

/// Bounds of the quota.
pub const RULE: Rule = Rule {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
const STEP_MS: u64 = 5;
/// Longest time until a VM notices that another one is silent, and that it is back. Each VM notices at a
/// time of its own.
const NOTICE_MS: u64 = 1500;
const CUSTOMER: &str = "c";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a limit with a burst of one second.
#[must_use]
pub fn limit(requests_per_s: f64) -> RateLimit {
    RateLimit {
        requests_per_s,
        burst: requests_per_s,
    }
}

fn member(index: usize) -> Member {
    Member {
        name: format!("vm-{index}"),
        zone: format!("z{}", index % 6),
        peer: String::new(),
        caller: String::new(),
        boot_ms: 1,
        beat: 0,
        status: Status::Alive,
        control: Revision::default(),
    }
}

/// One VM: what it gives out, what it got, and which part of the fleet it sees.
struct Vm {
    grantor: Grantor,
    allowances: Allowances,
    is_up: bool,
    paused_until: u64,
    /// Side of the partition.
    side: usize,
    /// Whether it leaves, and serves no more requests.
    has_left: bool,
}

/// The live VMs as one of them sees them.
struct View {
    alive: Vec<bool>,
    /// The VMs that it has seen since it started, and those that these knew.
    known: Vec<bool>,
    /// Differs if other VMs are alive.
    generation: u64,
    /// The VMs that are asked for tokens, in rank.
    ranked: Vec<usize>,
}

/// A VM notices whether another one is silent.
struct Notice {
    at_ms: u64,
    by: usize,
    about: usize,
}

/// A message under way.
enum Message {
    Question {
        to: usize,
        from: usize,
        number: u64,
        wanted: u32,
    },
    Answer {
        to: usize,
        number: u64,
        grant: Grant,
    },
    /// A new owner asks the VM that it takes for the one before.
    Claim { to: usize, from: usize },
    Handover {
        to: usize,
        from: usize,
        handover: Handover,
    },
}

/// VMs that pass their messages through memory. Times are in milliseconds since the start.
pub struct Fleet {
    members: Vec<Member>,
    vms: Vec<Vm>,
    views: Vec<View>,
    notices: Vec<Notice>,
    under_way: Vec<(u64, Message)>,
    /// Limit of the customer.
    pub limit: RateLimit,
    /// Version of the configuration that states it.
    pub version: u64,
    /// Part of the messages that are lost.
    pub loss: f64,
    rng: StdRng,
    /// The time.
    pub now: u64,
    next_number: u64,
    /// When requests were admitted.
    pub admitted: Vec<u64>,
    /// When requests were refused, and why.
    pub refused: Vec<(u64, Refusal)>,
}

impl Fleet {
    /// Starts VMs that have been up for long enough to know each other.
    #[must_use]
    pub fn start(vm_count: usize, limit: RateLimit, seed: u64) -> Self {
        let vm = |_| Vm {
            grantor: Grantor::new(at(0)),
            allowances: Allowances::default(),
            is_up: true,
            paused_until: 0,
            side: 0,
            has_left: false,
        };
        let mut fleet = Self {
            members: (0..vm_count).map(member).collect(),
            vms: (0..vm_count).map(vm).collect(),
            views: Vec::new(),
            notices: Vec::new(),
            under_way: Vec::new(),
            limit,
            version: 1,
            loss: 0.0,
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            next_number: 0,
            admitted: Vec::new(),
            refused: Vec::new(),
        };
        let view = fleet.view(&vec![true; vm_count]);
        fleet.views = (0..vm_count)
            .map(|_| View {
                alive: view.alive.clone(),
                known: view.known.clone(),
                ranked: view.ranked.clone(),
                ..view
            })
            .collect();
        fleet.run(12_000, 0.0);
        fleet
    }

    /// Returns the owner of the customer among the VMs that are up on the first side.
    #[must_use]
    pub fn owner(&self) -> usize {
        let is_up = |vm: &Vm| vm.is_up && vm.side == 0;
        let alive: Vec<bool> = self.vms.iter().map(is_up).collect();
        self.view(&alive).ranked[0]
    }

    fn view(&self, alive: &[bool]) -> View {
        let members = self.members.iter().zip(alive);
        let members = members.filter(|(_, is_alive)| **is_alive);
        let ranked = rank_grantors(CUSTOMER, members.map(|(member, _)| member));
        let index = |name: &str| self.members.iter().position(|member| member.name == name);
        View {
            alive: alive.to_vec(),
            known: alive.to_vec(),
            generation: 0,
            ranked: ranked
                .iter()
                .filter_map(|member| index(&member.name))
                .collect(),
        }
    }

    /// Changes on which side a VM is, or whether it is up. Each VM notices later.
    pub fn set_side(&mut self, vm: usize, side: Option<usize>) {
        self.vms[vm].is_up = side.is_some();
        if let Some(side) = side {
            self.vms[vm].side = side;
        } else {
            self.vms[vm].allowances = Allowances::default();
        }
        for other in 0..self.vms.len() {
            self.notice_later(other, vm, 0);
            self.notice_later(vm, other, 0);
        }
    }

    /// Lets a VM notice how another one is, after `delay_ms` and a time of its own.
    fn notice_later(&mut self, by: usize, about: usize, delay_ms: u64) {
        if by == about {
            return;
        }
        let own = self.rng.random_range(NOTICE_MS / 3..=NOTICE_MS);
        let at_ms = self.now + delay_ms + own;
        self.notices.push(Notice { at_ms, by, about });
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.vms[to].is_up && self.vms[from].side == self.vms[to].side
    }

    /// Starts a VM again that was down. It takes those that it reaches for alive at once.
    pub fn restart(&mut self, vm: usize) {
        self.vms[vm].grantor = Grantor::new(at(self.now));
        self.set_side(vm, Some(0));
        self.notices.retain(|notice| notice.by != vm);
        let alive: Vec<bool> = (0..self.vms.len())
            .map(|other| other == vm || self.reaches(vm, other))
            .collect();
        let mut known = alive.clone();
        for other in (0..self.vms.len()).filter(|other| *other != vm && alive[*other]) {
            self.add_known(&mut known, other);
        }
        let generation = self.views[vm].generation + 1;
        self.views[vm] = View {
            known,
            generation,
            ..self.view(&alive)
        };
    }

    /// Adds a VM and those that it knows, as it tells them to one that it meets.
    fn add_known(&self, known: &mut [bool], other: usize) {
        known[other] = true;
        for (known, told) in known.iter_mut().zip(&self.views[other].known) {
            *known |= told;
        }
    }

    /// Lets a VM leave: it says so to all and gives the customer to the next one, and passes questions on
    /// for as long as it is up.
    pub fn leave(&mut self, vm: usize) {
        for by in 0..self.vms.len() {
            let mut alive = self.views[by].alive.clone();
            alive[vm] = false;
            let view = View {
                generation: self.views[by].generation + 1,
                known: self.views[by].known.clone(),
                ..self.view(&alive)
            };
            let notices_at_once = by == vm || self.rng.random_bool(1.0 - self.loss);
            if notices_at_once {
                self.views[by] = view;
            }
        }
        self.vms[vm].has_left = true;
        if self.vms[vm].grantor.owned_customers().is_empty() {
            return;
        }
        if let Some(next) = self.views[vm].ranked.first().copied() {
            self.hand_over(vm, next);
        }
    }

    /// Lets a VM not see another one for a while, which is up.
    pub fn overlook(&mut self, by: usize, about: usize, for_ms: u64) {
        let mut alive = self.views[by].alive.clone();
        alive[about] = false;
        self.views[by] = View {
            known: self.views[by].known.clone(),
            generation: self.views[by].generation + 1,
            ..self.view(&alive)
        };
        self.notice_later(by, about, for_ms);
    }

    /// Stops a VM for a while. Those that notice do so at a time of their own.
    pub fn pause(&mut self, vm: usize, for_ms: u64) {
        self.vms[vm].paused_until = self.now + for_ms;
        for other in 0..self.vms.len() {
            let noticed_after = self.rng.random_range(NOTICE_MS / 3..=NOTICE_MS);
            if other == vm || for_ms <= noticed_after {
                continue;
            }
            self.notices.push(Notice {
                at_ms: self.now + noticed_after,
                by: other,
                about: vm,
            });
            self.notice_later(other, vm, for_ms);
        }
    }

    /// Returns whether a VM is up.
    #[must_use]
    pub fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].is_up
    }

    /// Returns whether any VM has state of the customer.
    pub fn has_state(&mut self) -> bool {
        let now = at(self.now);
        self.vms.iter_mut().any(|vm| {
            vm.allowances.expire(now);
            !vm.allowances.is_empty() || !vm.grantor.is_empty()
        })
    }

    /// Lets requests arrive at a rate, each at a VM that is up, at random.
    pub fn run(&mut self, for_ms: u64, requests_per_s: f64) {
        let end = self.now + for_ms;
        let mut due = 0.0;
        while self.now < end {
            self.now += STEP_MS;
            self.apply_notices();
            self.observe();
            self.deliver();
            due += requests_per_s * STEP_MS as f64 / 1000.0;
            while due >= 1.0 {
                due -= 1.0;
                let vm = self.rng.random_range(0..self.vms.len());
                if self.is_running(vm) && !self.vms[vm].has_left {
                    self.vms[vm]
                        .allowances
                        .record_arrival(CUSTOMER, at(self.now));
                    self.serve(vm);
                }
            }
        }
    }

    fn is_running(&self, vm: usize) -> bool {
        self.vms[vm].is_up && self.vms[vm].paused_until <= self.now
    }

    fn apply_notices(&mut self) {
        let now = self.now;
        let (mut due, later): (Vec<_>, Vec<_>) = self
            .notices
            .drain(..)
            .partition(|notice| notice.at_ms <= now);
        self.notices = later;
        due.sort_by_key(|notice| notice.at_ms);
        for notice in due {
            let view = &self.views[notice.by];
            let is_paused = self.vms[notice.about].paused_until > now;
            let is_alive = self.reaches(notice.by, notice.about) && !is_paused;
            if view.alive[notice.about] == is_alive {
                continue;
            }
            let mut alive = view.alive.clone();
            alive[notice.about] = is_alive;
            let generation = view.generation + 1;
            let mut known = view.known.clone();
            if is_alive {
                self.add_known(&mut known, notice.about);
            }
            self.views[notice.by] = View {
                known,
                generation,
                ..self.view(&alive)
            };
        }
    }

    fn observe(&mut self) {
        for vm in 0..self.vms.len() {
            if self.is_running(vm) && self.now.is_multiple_of(100) {
                self.observe_at(vm);
            }
        }
    }

    /// Tells a VM the time and which others are alive.
    fn observe_at(&mut self, vm: usize) {
        let view = &self.views[vm];
        let alive = view.alive.iter().filter(|is_alive| **is_alive);
        let known = view.known.iter().filter(|is_known| **is_known).count();
        let present = quota::Fleet {
            generation: view.generation,
            alive: alive.count(),
            known: (known > 1).then_some(known),
        };
        let is_owner = self.is_owner(vm);
        let grantor = &mut self.vms[vm].grantor;
        grantor.observe(present, &RULE, |_| is_owner, at(self.now));
    }

    /// Runs a request at a VM; one that has to wait is tried once more with each answer.
    fn serve(&mut self, vm: usize) {
        let now = at(self.now);
        match self.vms[vm].allowances.next_step(CUSTOMER, 1, now) {
            Step::Admit { ask_ahead, .. } => {
                self.admitted.push(self.now);
                if let Some(query) = ask_ahead {
                    self.ask(vm, query);
                }
            }
            Step::Ask(query) => {
                self.ask(vm, query);
                self.retry_later(vm);
            }
            Step::Wait(_) => self.retry_later(vm),
            Step::Refuse(refusal) => self.refused.push((self.now, refusal)),
        }
    }

    fn retry_later(&mut self, vm: usize) {
        // A message with a number that nobody sent only runs the request again.
        let number = u64::MAX;
        let grant = Grant::default();
        self.under_way.push((
            self.now + 30,
            Message::Answer {
                to: vm,
                number,
                grant,
            },
        ));
    }

    fn ask(&mut self, vm: usize, query: Query) {
        let number = self.next_number;
        self.next_number += 1;
        self.vms[vm]
            .allowances
            .record_query(CUSTOMER, number, query, at(self.now));
        let Some(to) = self.views[vm].ranked.get(query.rank).copied() else {
            return;
        };
        let wanted = query.wanted;
        self.send(Message::Question {
            to,
            from: vm,
            number,
            wanted,
        });
    }

    fn send(&mut self, message: Message) {
        if self.rng.random_bool(1.0 - self.loss) {
            let delay = self.rng.random_range(1..=14);
            self.under_way.push((self.now + delay, message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) =
            self.under_way.drain(..).partition(|(due, _)| *due <= now);
        self.under_way = later;
        for (_, message) in due {
            match message {
                Message::Question {
                    to,
                    from,
                    number,
                    wanted,
                } => {
                    self.answer(to, from, number, wanted);
                }
                Message::Answer { to, number, grant } if self.is_running(to) => {
                    let is_retry = number == u64::MAX;
                    let allowances = &mut self.vms[to].allowances;
                    allowances.record_grant(CUSTOMER, number, grant, at(now));
                    if is_retry {
                        self.serve(to);
                    }
                }
                Message::Answer { .. } => {}
                Message::Claim { to, from } => self.hand_over(to, from),
                Message::Handover { to, from, handover } => {
                    if self.is_running(to) && self.reaches(from, to) {
                        let entitlement = self.entitlement();
                        let grantor = &mut self.vms[to].grantor;
                        grantor.take_over(CUSTOMER, entitlement, &handover, &RULE, at(now));
                    }
                }
            }
        }
    }

    fn answer(&mut self, vm: usize, to: usize, number: u64, wanted: u32) {
        if !self.is_running(vm) || self.vms[vm].side != self.vms[to].side {
            return;
        }
        self.observe_at(vm);
        let is_owner = self.is_owner(vm);
        let entitlement = self.entitlement();
        let now = at(self.now);
        let grantor = &mut self.vms[vm].grantor;
        match grantor.stance(CUSTOMER, entitlement, &RULE, is_owner, now) {
            Stance::Grant => {
                let grant = grantor.grant(CUSTOMER, entitlement, wanted, &RULE, is_owner, now);
                let owner = self.views[vm].ranked.first().copied();
                match owner.filter(|_| !is_owner && grant.tokens == 0) {
                    Some(owner) => self.send(Message::Question {
                        to: owner,
                        from: to,
                        number,
                        wanted,
                    }),
                    None => self.send(Message::Answer { to, number, grant }),
                }
            }
            Stance::Claim => {
                match self.views[vm].ranked.get(1).copied() {
                    Some(before) => self.send(Message::Claim {
                        to: before,
                        from: vm,
                    }),
                    None => grantor.give_up_claim(CUSTOMER),
                }
                self.keep(vm, to, number, wanted);
            }
            Stance::Wait(_) => self.keep(vm, to, number, wanted),
            Stance::Forward { to: successor } => {
                let successor = successor
                    .parse()
                    .expect("VMs name themselves by their number");
                self.send(Message::Question {
                    to: successor,
                    from: to,
                    number,
                    wanted,
                });
            }
        }
    }

    /// Lets a VM look at a question again in the next step.
    fn keep(&mut self, to: usize, from: usize, number: u64, wanted: u32) {
        let question = Message::Question {
            to,
            from,
            number,
            wanted,
        };
        self.under_way.push((self.now + STEP_MS, question));
    }

    fn hand_over(&mut self, vm: usize, to: usize) {
        if !self.is_running(vm) || !self.reaches(to, vm) {
            return;
        }
        self.observe_at(vm);
        let is_owner = self.is_owner(vm);
        let grantor = &mut self.vms[vm].grantor;
        let handover = grantor.hand_over(CUSTOMER, &to.to_string(), &RULE, is_owner, at(self.now));
        self.send(Message::Handover {
            to,
            from: vm,
            handover,
        });
    }

    fn is_owner(&self, vm: usize) -> bool {
        self.views[vm].ranked.first() == Some(&vm)
    }

    fn entitlement(&self) -> Entitlement {
        Entitlement {
            limit: self.limit,
            version: self.version,
        }
    }

    /// Returns the most requests in a sliding window.
    #[must_use]
    pub fn worst_window(&self) -> usize {
        let window = RULE.window.as_millis() as u64;
        let starts = self.admitted.iter().enumerate();
        let counts = starts.map(|(index, start)| {
            self.admitted[index..].partition_point(|time| *time <= start + window)
        });
        counts.max().unwrap_or(0)
    }

    /// Returns the part of the windows' limit that was used from a time until now.
    #[must_use]
    pub fn use_since(&self, start: u64) -> f64 {
        let used = self.admitted.len() - self.admitted.partition_point(|time| *time < start);
        let windows = (self.now - start) as f64 / RULE.window.as_millis() as f64;
        used as f64 / (windows * RULE.window_limit(self.limit))
    }
}
