//! Model of several sends of one idempotency key through several VMs.

use {
    once::{Action, Attempt, Event, ExistingClaim, Safeguards},
    wire::{Outcome, Reason},
};

/// Bounds of the explored state space: the number of sends and the limit of each fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Number of sends of the key, each to a different VM.
    pub sends: usize,
    /// Maximum number of VM crashes.
    pub crashes: u8,
    /// Maximum number of table service responses that are lost, or writes that are delayed or
    /// duplicated.
    pub lost_responses: u8,
    /// Maximum number of calls that find the table service unavailable.
    pub outages: u8,
    /// Maximum number of refusals by a pool or a target and of failed connections.
    pub refusals: u8,
    /// Maximum number of exchanges with a target that end without a response.
    pub broken_exchanges: u8,
}

/// Progress of a send at its VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// Not sent yet.
    NotSent,
    /// On the network, or unread in the socket of a frozen VM.
    InFlight,
    /// At the VM, which is about to perform this action.
    AtVm(Action),
    /// The VM has sent an insert and waits for the response.
    AwaitingInsert,
    /// The VM has sent the request and waits for the target's response.
    AwaitingTarget,
    /// The VM has responded or crashed.
    Finished,
}

/// Outcome of a send as seen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum CallerView {
    /// The caller is waiting.
    Waiting,
    /// The caller received this outcome.
    Received(Outcome),
    /// The caller stopped waiting.
    GaveUp,
}

/// State of one send: caller, VM and messages in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct SendState {
    stage: Stage,
    attempt: Attempt,
    caller_view: CallerView,
    /// Inserts in flight whose responses nobody waits for.
    inserts_in_flight: u8,
    /// Whether a removal of the claim is in flight.
    removal_in_flight: bool,
    /// Whether a write that marks the claim as completed is in flight.
    completion_in_flight: bool,
    /// Whether the request is in a socket to the target and may still run.
    request_in_flight: bool,
    runs: u8,
}

/// Claim in the table service; `owner` is the index of the send that wrote it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Row {
    owner: usize,
    is_completed: bool,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    safeguards: Safeguards,
    remaining: Bounds,
    sends: Vec<SendState>,
    row: Option<Row>,
    /// Index of the last send whose outcome "not run" the caller received. It covers all
    /// sends before it.
    last_not_run: Option<usize>,
}

impl State {
    /// Returns the initial state, in which nothing has been sent.
    #[must_use]
    pub fn new(safeguards: Safeguards, bounds: Bounds) -> Self {
        let unsent = SendState {
            stage: Stage::NotSent,
            attempt: Attempt::new(safeguards, false),
            caller_view: CallerView::Waiting,
            inserts_in_flight: 0,
            removal_in_flight: false,
            completion_in_flight: false,
            request_in_flight: false,
            runs: 0,
        };
        Self {
            safeguards,
            remaining: bounds,
            sends: vec![unsent; bounds.sends],
            row: None,
            last_not_run: None,
        }
    }

    /// Returns whether the request has run more than once.
    #[must_use]
    pub fn has_run_twice(&self) -> bool {
        self.sends.iter().map(|send| send.runs).sum::<u8>() > 1
    }

    /// Returns whether the caller received "not run" for a send although that send or an
    /// earlier one ran the request, before or afterwards.
    #[must_use]
    pub fn has_false_not_run(&self) -> bool {
        let Some(last) = self.last_not_run else {
            return false;
        };
        self.sends[..=last].iter().any(|send| send.runs > 0)
    }

    /// Returns whether the caller received a response to a request that never ran.
    #[must_use]
    pub fn has_false_response(&self) -> bool {
        let is_answered =
            |send: &SendState| send.caller_view == CallerView::Received(Outcome::Answered);
        let never_ran = self.sends.iter().all(|send| send.runs == 0);
        never_ran && self.sends.iter().any(is_answered)
    }

    /// Returns whether the caller received a response to any send. Used to check that the model
    /// can reach success at all.
    #[must_use]
    pub fn has_response(&self) -> bool {
        let is_answered =
            |send: &SendState| send.caller_view == CallerView::Received(Outcome::Answered);
        self.sends.iter().any(is_answered)
    }

    /// Returns all states that one event can lead to.
    #[must_use]
    pub fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        self.add_caller_steps(&mut successors);
        for index in 0..self.sends.len() {
            self.add_vm_steps(index, &mut successors);
            self.add_network_steps(index, &mut successors);
        }
        successors
    }

    /// Adds the steps of the caller: it stops waiting for a send, or sends again once the
    /// previous send was refused or abandoned.
    fn add_caller_steps(&self, successors: &mut Vec<Self>) {
        for index in 0..self.sends.len() {
            let send = &self.sends[index];
            if send.caller_view == CallerView::Waiting && send.stage != Stage::NotSent {
                let mut state = self.clone();
                state.sends[index].caller_view = CallerView::GaveUp;
                successors.push(state);
            }
            let may_send = index == 0 || can_resend(self.sends[index - 1].caller_view);
            if send.stage == Stage::NotSent && may_send {
                let mut state = self.clone();
                let unresolved = self.sends[..index].iter().any(is_unresolved);
                state.sends[index].attempt = Attempt::new(self.safeguards, unresolved);
                state.sends[index].stage = Stage::InFlight;
                successors.push(state);
            }
        }
    }

    /// Adds the steps of a VM: it crashes, or continues from its stage.
    fn add_vm_steps(&self, index: usize, successors: &mut Vec<Self>) {
        let stage = self.sends[index].stage;
        if !matches!(stage, Stage::NotSent | Stage::Finished) && self.remaining.crashes > 0 {
            let mut crashed = self.clone();
            crashed.remaining.crashes -= 1;
            crashed.detach_insert(index);
            crashed.sends[index].stage = Stage::Finished;
            successors.push(crashed);
        }
        match stage {
            Stage::InFlight => {
                self.add_event(index, Event::Admitted, successors);
                self.add_refusal(index, Event::Refused(Reason::Overloaded), successors);
            }
            Stage::AtVm(action) => self.add_action_results(index, action, successors),
            Stage::AwaitingInsert => self.add_insert_results(index, successors),
            Stage::AwaitingTarget => self.add_exchange_results(index, successors),
            Stage::NotSent | Stage::Finished => {}
        }
    }

    /// Adds the results of an action that the VM performs.
    fn add_action_results(&self, index: usize, action: Action, successors: &mut Vec<Self>) {
        match action {
            Action::InsertClaim => {
                let mut state = self.clone();
                state.sends[index].stage = Stage::AwaitingInsert;
                successors.push(state);
                self.add_outage(index, successors);
            }
            Action::ReadBackClaim => {
                self.add_event(index, self.read_claim(index), successors);
                self.add_lost_response(index, Event::StoreResponseLost, successors);
            }
            Action::AwaitSlot => {
                self.add_event(index, Event::SlotGranted, successors);
                self.add_refusal(index, Event::SlotDenied(Reason::Overloaded), successors);
            }
            Action::Dispatch => {
                let mut state = self.clone();
                state.sends[index].stage = Stage::AwaitingTarget;
                state.sends[index].request_in_flight = true;
                successors.push(state);
                self.add_refusal(index, Event::ConnectFailed, successors);
                self.add_refusal(index, Event::Shed, successors);
            }
            Action::ReplayResponse => self.add_response(index, Outcome::Answered, successors),
            Action::RecordResponse => {
                let mut state = self.clone();
                state.sends[index].completion_in_flight = true;
                state.add_response(index, Outcome::Answered, successors);
            }
            Action::Refuse {
                outcome, release, ..
            } => self.add_refusal_results(index, outcome, release, successors),
        }
    }

    /// Adds the results of a refusal. With `release`, the VM removes the claim before it
    /// responds; if the table service doesn't confirm the removal, it responds anyway.
    fn add_refusal_results(
        &self,
        index: usize,
        outcome: Outcome,
        release: bool,
        successors: &mut Vec<Self>,
    ) {
        if !release {
            return self.add_response(index, outcome, successors);
        }
        let mut removed = self.clone();
        removed.remove_claim(index);
        removed.add_response(index, outcome, successors);
        if self.remaining.lost_responses > 0 {
            let mut delayed = self.clone();
            delayed.remaining.lost_responses -= 1;
            delayed.sends[index].removal_in_flight = true;
            delayed.add_response(index, outcome, successors);
        }
    }

    /// Adds the results of an insert: it takes effect and is confirmed, its response is lost
    /// after it took effect, it is delayed, or it is duplicated.
    fn add_insert_results(&self, index: usize, successors: &mut Vec<Self>) {
        let mut applied = self.clone();
        let event = applied.apply_insert(index);
        applied.add_event(index, event, successors);
        if self.remaining.lost_responses > 0 {
            let mut lost = applied.clone();
            lost.remaining.lost_responses -= 1;
            lost.add_event(index, Event::StoreResponseLost, successors);
            let mut delayed = self.clone();
            delayed.remaining.lost_responses -= 1;
            delayed.sends[index].inserts_in_flight += 1;
            delayed.add_event(index, Event::StoreResponseLost, successors);
            let mut twice = applied.clone();
            twice.remaining.lost_responses -= 1;
            twice.sends[index].inserts_in_flight += 1;
            twice.add_event(index, event, successors);
        }
    }

    /// Adds the results of an exchange: the target responds after it ran the request, or the
    /// exchange ends without a response at any time.
    fn add_exchange_results(&self, index: usize, successors: &mut Vec<Self>) {
        if !self.sends[index].request_in_flight {
            self.add_event(index, Event::Answered, successors);
        }
        if self.remaining.broken_exchanges > 0 {
            let mut state = self.clone();
            state.remaining.broken_exchanges -= 1;
            state.add_event(
                index,
                Event::ExchangeFailed(Reason::UpstreamBroke),
                successors,
            );
        }
    }

    /// Adds the arrival of messages in flight, which doesn't depend on the state of their sender.
    fn add_network_steps(&self, index: usize, successors: &mut Vec<Self>) {
        let send = &self.sends[index];
        if send.request_in_flight {
            let mut state = self.clone();
            state.sends[index].request_in_flight = false;
            state.sends[index].runs += 1;
            successors.push(state);
        }
        if send.inserts_in_flight > 0 {
            let mut state = self.clone();
            state.sends[index].inserts_in_flight -= 1;
            state.apply_insert(index);
            successors.push(state);
        }
        if send.removal_in_flight {
            let mut state = self.clone();
            state.sends[index].removal_in_flight = false;
            state.remove_claim(index);
            successors.push(state);
        }
        if send.completion_in_flight {
            let mut state = self.clone();
            state.sends[index].completion_in_flight = false;
            state.mark_completed(index);
            successors.push(state);
        }
    }

    /// Applies an insert in the table service and returns the event for the VM.
    fn apply_insert(&mut self, index: usize) -> Event {
        match self.row {
            Some(row) if row.owner == index => Event::Claimed,
            Some(row) if self.safeguards.insert_if_absent => Event::KeyTaken(existing_claim(row)),
            _ => {
                self.row = Some(Row {
                    owner: index,
                    is_completed: false,
                });
                Event::Claimed
            }
        }
    }

    fn remove_claim(&mut self, index: usize) {
        if self.row.is_some_and(|row| row.owner == index) {
            self.row = None;
        }
    }

    fn mark_completed(&mut self, index: usize) {
        if let Some(row) = self.row.as_mut().filter(|row| row.owner == index) {
            row.is_completed = true;
        }
    }

    /// Leaves the insert of a crashed VM in flight, since it may still take effect.
    fn detach_insert(&mut self, index: usize) {
        if self.sends[index].stage == Stage::AwaitingInsert {
            self.sends[index].inserts_in_flight += 1;
        }
    }

    /// Returns the event for a VM that reads its claim back.
    fn read_claim(&self, index: usize) -> Event {
        match self.row {
            None => Event::ClaimAbsent,
            Some(row) if row.owner == index => Event::Claimed,
            Some(row) => Event::KeyTaken(existing_claim(row)),
        }
    }

    /// Adds the state after the VM's attempt has processed an event.
    fn add_event(&self, index: usize, event: Event, successors: &mut Vec<Self>) {
        let mut state = self.clone();
        let action = state.sends[index].attempt.handle(event);
        state.sends[index].stage = Stage::AtVm(action);
        successors.push(state);
    }

    /// Adds a refusal, if the bounds allow another one.
    fn add_refusal(&self, index: usize, event: Event, successors: &mut Vec<Self>) {
        if self.remaining.refusals > 0 {
            let mut state = self.clone();
            state.remaining.refusals -= 1;
            state.add_event(index, event, successors);
        }
    }

    /// Adds the loss of a response, if the bounds allow another one.
    fn add_lost_response(&self, index: usize, event: Event, successors: &mut Vec<Self>) {
        if self.remaining.lost_responses > 0 {
            let mut state = self.clone();
            state.remaining.lost_responses -= 1;
            state.add_event(index, event, successors);
        }
    }

    /// Adds an unavailable table service, if the bounds allow another one.
    fn add_outage(&self, index: usize, successors: &mut Vec<Self>) {
        if self.remaining.outages > 0 {
            let mut state = self.clone();
            state.remaining.outages -= 1;
            state.add_event(index, Event::StoreUnreachable, successors);
        }
    }

    /// Adds the VM's response. The caller ignores it if it has stopped waiting.
    fn add_response(&self, index: usize, outcome: Outcome, successors: &mut Vec<Self>) {
        let mut state = self.clone();
        state.sends[index].stage = Stage::Finished;
        if state.sends[index].caller_view == CallerView::Waiting {
            state.sends[index].caller_view = CallerView::Received(outcome);
            if outcome == Outcome::NotRun {
                state.last_not_run = Some(index);
            }
        }
        successors.push(state);
    }
}

/// Returns what a VM learns about the claim of another send.
fn existing_claim(row: Row) -> ExistingClaim {
    if row.is_completed {
        ExistingClaim::Completed
    } else {
        ExistingClaim::Pending
    }
}

/// Returns whether the caller may send again after a send with this outcome.
fn can_resend(caller_view: CallerView) -> bool {
    match caller_view {
        CallerView::Waiting => false,
        CallerView::Received(outcome) => outcome != Outcome::Answered,
        CallerView::GaveUp => true,
    }
}

/// Returns whether the caller doesn't know if the request of this send ran.
fn is_unresolved(send: &SendState) -> bool {
    matches!(
        send.caller_view,
        CallerView::GaveUp | CallerView::Received(Outcome::MayHaveRun)
    )
}
