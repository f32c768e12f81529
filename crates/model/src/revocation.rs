//! Model of VMs that must not serve a key which was withdrawn, whatever they hear and when.

use {
    customer::{Confirmation, Freshness},
    std::time::Duration,
    wire::Revision,
};

/// Smallest step of time.
const TICK: Duration = Duration::from_secs(1);
/// Ticks for which a withdrawn key may still be served.
const BOUND_TICKS: u32 = 2;
const FIRST: Revision = Revision::new(0, 1);
/// Revision of the change that withdraws the key.
const WITHDRAWN: Revision = Revision::new(0, 2);
/// What the clocks of the two VMs show at the start, in ticks.
const CLOCK_STARTS: [u32; 2] = [0, 3];

/// Bounds of the explored state space: the limit of each event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Ticks until the end.
    pub ticks: u32,
    /// Maximum number of questions to the store or the other VM.
    pub questions: u8,
    /// Maximum number of ticks for which the first VM is suspended.
    pub suspensions: u32,
}

/// Protocol variant: the real one, or one with a safeguard removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Variant {
    /// Protocol of the product.
    Strict,
    /// A VM counts from when an answer came, not from when it asked.
    CountFromAnswer,
    /// The clock of a VM stands still while the VM is suspended.
    StoppingClock,
    /// A VM adopts confirmations of changes that it does not know.
    UnknownChanges,
}

/// An answer about the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Answer {
    /// Revision up to which it holds the changes.
    known: Revision,
    confirmation: Option<Confirmation>,
    store_time: Option<Duration>,
}

/// A question to the store or the other VM, and the answer once there is one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Exchange {
    asks_store: bool,
    asked_at: Duration,
    answer: Option<Answer>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Vm {
    /// What its clock shows, in ticks.
    clock: u32,
    known: Revision,
    freshness: Freshness,
    exchange: Option<Exchange>,
}

impl Vm {
    fn now(&self) -> Duration {
        TICK * self.clock
    }

    /// Returns whether the VM serves the key.
    fn admits(&self) -> bool {
        let age = self.freshness.age(self.now());
        self.known < WITHDRAWN && age.is_some_and(|age| age <= TICK * BOUND_TICKS)
    }
}

/// State of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    variant: Variant,
    remaining: Bounds,
    /// Ticks since the start, which the store's clock shows.
    now: u32,
    withdrawn_at: Option<u32>,
    vms: [Vm; 2],
}

impl State {
    /// Returns the initial state: a store with the key, and two VMs that know nothing.
    #[must_use]
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        Self {
            variant,
            remaining: bounds,
            now: 0,
            withdrawn_at: None,
            vms: CLOCK_STARTS.map(|clock| Vm {
                clock,
                known: Revision::default(),
                freshness: Freshness::default(),
                exchange: None,
            }),
        }
    }

    /// Returns whether a VM serves the key after the bound.
    #[must_use]
    pub fn serves_withdrawn_key(&self) -> bool {
        let is_late = self
            .withdrawn_at
            .is_some_and(|at| self.now > at + BOUND_TICKS);
        is_late && self.vms.iter().any(Vm::admits)
    }

    /// Returns all states that one event can lead to.
    #[must_use]
    pub fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        if self.remaining.ticks > 0 {
            successors.push(self.after_tick(false));
            if self.remaining.suspensions > 0 {
                successors.push(self.after_tick(true));
            }
        }
        if self.withdrawn_at.is_none() {
            successors.push(Self {
                withdrawn_at: Some(self.now),
                ..*self
            });
        }
        for index in 0..2 {
            self.add_vm_steps(index, &mut successors);
        }
        successors
    }

    fn after_tick(&self, is_first_suspended: bool) -> Self {
        let mut next = *self;
        next.now += 1;
        next.remaining.ticks -= 1;
        next.remaining.suspensions -= u32::from(is_first_suspended);
        let stands_still = is_first_suspended && self.variant == Variant::StoppingClock;
        next.vms[0].clock += u32::from(!stands_still);
        next.vms[1].clock += 1;
        next
    }

    fn add_vm_steps(&self, index: usize, successors: &mut Vec<Self>) {
        let with_exchange = |exchange: Option<Exchange>| {
            let mut next = *self;
            next.vms[index].exchange = exchange;
            next
        };
        let vm = &self.vms[index];
        let Some(exchange) = vm.exchange else {
            for asks_store in [true, false] {
                let mut next = with_exchange(Some(Exchange {
                    asks_store,
                    asked_at: vm.now(),
                    answer: None,
                }));
                if self.remaining.questions > 0 {
                    next.remaining.questions -= 1;
                    successors.push(next);
                }
            }
            return;
        };
        // The question or its answer is lost.
        successors.push(with_exchange(None));
        if let Some(answer) = exchange.answer {
            successors.push(self.after_answer(index, &exchange, answer));
            return;
        }
        for answer in self.answers(index, exchange.asks_store) {
            successors.push(with_exchange(Some(Exchange {
                answer: Some(answer),
                ..exchange
            })));
        }
    }

    /// Returns the possible answers. Another VM may give a part of its changes only.
    fn answers(&self, index: usize, asks_store: bool) -> Vec<Answer> {
        if asks_store {
            let revision = self.withdrawn_at.map_or(FIRST, |_| WITHDRAWN);
            let store_time = TICK * self.now;
            return vec![Answer {
                known: revision,
                confirmation: Some(Confirmation {
                    revision,
                    store_time,
                }),
                store_time: Some(store_time),
            }];
        }
        let peer = &self.vms[1 - index];
        let answer = Answer {
            known: peer.known,
            confirmation: peer.freshness.confirmation(),
            store_time: peer.freshness.store_time(peer.now()),
        };
        let partial = Answer {
            known: FIRST.min(peer.known),
            ..answer
        };
        vec![answer, partial]
    }

    fn after_answer(&self, index: usize, exchange: &Exchange, answer: Answer) -> Self {
        let mut next = *self;
        let vm = &mut next.vms[index];
        vm.exchange = None;
        vm.known = vm.known.max(answer.known);
        let asked_at = match self.variant {
            Variant::CountFromAnswer => vm.now(),
            _ => exchange.asked_at,
        };
        if let Some(store_time) = answer.store_time {
            vm.freshness.record_store_time(0, store_time, asked_at);
        }
        if let Some(confirmation) = answer.confirmation {
            let known = match self.variant {
                Variant::UnknownChanges => confirmation.revision,
                _ => vm.known,
            };
            let now = vm.now();
            vm.freshness.record_confirmation(confirmation, known, now);
        }
        next
    }
}
