//! Several sends of one idempotency key through several VMs.

use {
    once::{Action, Attempt, Event, ExistingClaim, Safeguards},
    wire::{Outcome, Reason},
};

/// How much may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Sends of the key, each to a VM of its own.
    pub sends: usize,
    /// Crashes of VMs.
    pub crashes: u8,
    /// Answers of the table service that are lost, or writes that are late.
    pub lost_answers: u8,
    /// Times that the table service is down for a call.
    pub outages: u8,
    /// Refusals by a pool or a target, and failures to connect.
    pub refusals: u8,
    /// Exchanges with a target that break off.
    pub breaks: u8,
}

/// Where a send stands at its VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// Not sent yet.
    Idle,
    /// On its way to the VM, or in a frozen VM's socket.
    Travelling,
    /// At the VM, which has to carry this action out.
    At(Action),
    /// An insert is on its way and its answer is awaited.
    Inserting,
    /// The request is with the target.
    Exchanging,
    /// The VM has answered, or is dead.
    Over,
}

/// What the caller knows of a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Known {
    /// Nothing yet.
    Open,
    /// The caller was told.
    Told(Outcome),
    /// The caller has given up waiting.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Send {
    stage: Stage,
    attempt: Attempt,
    known: Known,
    /// Inserts on their way whose answers nobody awaits any more.
    late_inserts: u8,
    /// Removals on their way.
    late_release: bool,
    /// A note of the answer on its way.
    late_done: bool,
    /// The request is in a socket to a target and may still be run.
    bytes_out: bool,
    runs: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Row {
    owner: usize,
    done: bool,
}

/// Everything at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    rules: Safeguards,
    left: Bounds,
    sends: Vec<Send>,
    row: Option<Row>,
    /// The last send of which the caller concluded that the request did not run.
    not_run_up_to: Option<usize>,
}

impl World {
    /// A caller that has not sent yet.
    #[must_use]
    pub fn new(rules: Safeguards, bounds: Bounds) -> Self {
        let idle = Send {
            stage: Stage::Idle,
            attempt: Attempt::new(rules, false),
            known: Known::Open,
            late_inserts: 0,
            late_release: false,
            late_done: false,
            bytes_out: false,
            runs: 0,
        };
        Self {
            rules,
            left: bounds,
            sends: vec![idle; bounds.sends],
            row: None,
            not_run_up_to: None,
        }
    }

    /// Whether the request has run more than once.
    #[must_use]
    pub fn ran_twice(&self) -> bool {
        self.sends.iter().map(|send| send.runs).sum::<u8>() > 1
    }

    /// Whether the caller was told "not run" of a request that has run by then
    /// or runs later without being sent again.
    #[must_use]
    pub fn false_not_run(&self) -> bool {
        let Some(last) = self.not_run_up_to else {
            return false;
        };
        self.sends[..=last].iter().any(|send| send.runs > 0)
    }

    /// Whether the caller got an answer of a request that never ran.
    #[must_use]
    pub fn false_answer(&self) -> bool {
        let answered = |send: &Send| send.known == Known::Told(Outcome::Answered);
        let never = self.sends.iter().all(|send| send.runs == 0);
        never && self.sends.iter().any(answered)
    }

    /// Whether some send was answered; used to see that the model can succeed.
    #[must_use]
    pub fn answered(&self) -> bool {
        let answered = |send: &Send| send.known == Known::Told(Outcome::Answered);
        self.sends.iter().any(answered)
    }

    /// Every state that one event leads to.
    #[must_use]
    pub fn next(&self) -> Vec<Self> {
        let mut out = Vec::new();
        self.caller_steps(&mut out);
        for index in 0..self.sends.len() {
            self.vm_steps(index, &mut out);
            self.network_steps(index, &mut out);
        }
        out
    }

    /// The caller sends once it knows the end of the send before, or gave it up.
    fn caller_steps(&self, out: &mut Vec<Self>) {
        for index in 0..self.sends.len() {
            let send = &self.sends[index];
            if send.known == Known::Open && send.stage != Stage::Idle {
                let mut next = self.clone();
                next.sends[index].known = Known::Lost;
                out.push(next);
            }
            let ready = index == 0 || resendable(self.sends[index - 1].known);
            if send.stage == Stage::Idle && ready {
                let mut next = self.clone();
                let unresolved = self.sends[..index].iter().any(unresolved);
                next.sends[index].attempt = Attempt::new(self.rules, unresolved);
                next.sends[index].stage = Stage::Travelling;
                out.push(next);
            }
        }
    }

    fn vm_steps(&self, index: usize, out: &mut Vec<Self>) {
        let stage = self.sends[index].stage;
        if !matches!(stage, Stage::Idle | Stage::Over) && self.left.crashes > 0 {
            let mut next = self.clone();
            next.left.crashes -= 1;
            next.abandon_insert(index);
            next.sends[index].stage = Stage::Over;
            out.push(next);
        }
        match stage {
            Stage::Travelling => {
                self.feed(index, Event::Admitted, out);
                self.refuse(index, Event::Refused(Reason::Overloaded), out);
            }
            Stage::At(action) => self.act(index, action, out),
            Stage::Inserting => self.insert_ends(index, out),
            Stage::Exchanging => self.exchange_ends(index, out),
            Stage::Idle | Stage::Over => {}
        }
    }

    /// Carries an action out.
    fn act(&self, index: usize, action: Action, out: &mut Vec<Self>) {
        match action {
            Action::InsertClaim => {
                let mut next = self.clone();
                next.sends[index].stage = Stage::Inserting;
                out.push(next);
                self.outage(index, out);
            }
            Action::ReadBackClaim => {
                self.feed(index, self.read_back(index), out);
                self.lose(index, Event::StoreAnswerLost, out);
            }
            Action::AwaitSlot => {
                self.feed(index, Event::SlotGranted, out);
                self.refuse(index, Event::SlotDenied(Reason::Overloaded), out);
            }
            Action::Dispatch => {
                let mut next = self.clone();
                next.sends[index].stage = Stage::Exchanging;
                next.sends[index].bytes_out = true;
                out.push(next);
                self.refuse(index, Event::ConnectFailed, out);
                self.refuse(index, Event::Shed, out);
            }
            Action::ReplayAnswer => self.tell(index, Outcome::Answered, out),
            Action::RecordAnswer => {
                let mut next = self.clone();
                next.sends[index].late_done = true;
                next.tell(index, Outcome::Answered, out);
            }
            Action::Refuse {
                outcome, release, ..
            } => self.end(index, outcome, release, out),
        }
    }

    /// The claim is removed before the caller is told, unless the table service
    /// does not confirm it.
    fn end(&self, index: usize, outcome: Outcome, release: bool, out: &mut Vec<Self>) {
        if !release {
            return self.tell(index, outcome, out);
        }
        let mut removed = self.clone();
        removed.remove(index);
        removed.tell(index, outcome, out);
        if self.left.lost_answers > 0 {
            let mut late = self.clone();
            late.left.lost_answers -= 1;
            late.sends[index].late_release = true;
            late.tell(index, outcome, out);
        }
    }

    /// The awaited insert takes effect and is answered, or its answer is lost
    /// after the effect, or it is late, or it arrives twice.
    fn insert_ends(&self, index: usize, out: &mut Vec<Self>) {
        let mut applied = self.clone();
        let event = applied.insert(index);
        applied.feed(index, event, out);
        if self.left.lost_answers > 0 {
            let mut lost = applied.clone();
            lost.left.lost_answers -= 1;
            lost.feed(index, Event::StoreAnswerLost, out);
            let mut late = self.clone();
            late.left.lost_answers -= 1;
            late.sends[index].late_inserts += 1;
            late.feed(index, Event::StoreAnswerLost, out);
            let mut twice = applied.clone();
            twice.left.lost_answers -= 1;
            twice.sends[index].late_inserts += 1;
            twice.feed(index, event, out);
        }
    }

    /// The target answers after it ran the request, or the exchange breaks off
    /// at any moment.
    fn exchange_ends(&self, index: usize, out: &mut Vec<Self>) {
        if !self.sends[index].bytes_out {
            self.feed(index, Event::Answered, out);
        }
        if self.left.breaks > 0 {
            let mut next = self.clone();
            next.left.breaks -= 1;
            next.feed(index, Event::ExchangeFailed(Reason::UpstreamBroke), out);
        }
    }

    /// What was on its way arrives, whatever became of its sender.
    fn network_steps(&self, index: usize, out: &mut Vec<Self>) {
        let send = &self.sends[index];
        if send.bytes_out {
            let mut next = self.clone();
            next.sends[index].bytes_out = false;
            next.sends[index].runs += 1;
            out.push(next);
        }
        if send.late_inserts > 0 {
            let mut next = self.clone();
            next.sends[index].late_inserts -= 1;
            next.insert(index);
            out.push(next);
        }
        if send.late_release {
            let mut next = self.clone();
            next.sends[index].late_release = false;
            next.remove(index);
            out.push(next);
        }
        if send.late_done {
            let mut next = self.clone();
            next.sends[index].late_done = false;
            next.note_done(index);
            out.push(next);
        }
    }

    /// Applies an insert in the table service.
    fn insert(&mut self, index: usize) -> Event {
        match self.row {
            Some(row) if row.owner == index => Event::Claimed,
            Some(row) if self.rules.insert_if_absent => Event::KeyTaken(existing(row)),
            _ => {
                self.row = Some(Row {
                    owner: index,
                    done: false,
                });
                Event::Claimed
            }
        }
    }

    fn remove(&mut self, index: usize) {
        if self.row.is_some_and(|row| row.owner == index) {
            self.row = None;
        }
    }

    fn note_done(&mut self, index: usize) {
        if let Some(row) = self.row.as_mut().filter(|row| row.owner == index) {
            row.done = true;
        }
    }

    /// An insert that a dead VM awaited may still take effect.
    fn abandon_insert(&mut self, index: usize) {
        if self.sends[index].stage == Stage::Inserting {
            self.sends[index].late_inserts += 1;
        }
    }

    fn read_back(&self, index: usize) -> Event {
        match self.row {
            None => Event::ClaimAbsent,
            Some(row) if row.owner == index => Event::Claimed,
            Some(row) => Event::KeyTaken(existing(row)),
        }
    }

    fn feed(&self, index: usize, event: Event, out: &mut Vec<Self>) {
        let mut next = self.clone();
        let action = next.sends[index].attempt.handle(event);
        next.sends[index].stage = Stage::At(action);
        out.push(next);
    }

    fn refuse(&self, index: usize, event: Event, out: &mut Vec<Self>) {
        if self.left.refusals > 0 {
            let mut next = self.clone();
            next.left.refusals -= 1;
            next.feed(index, event, out);
        }
    }

    fn lose(&self, index: usize, event: Event, out: &mut Vec<Self>) {
        if self.left.lost_answers > 0 {
            let mut next = self.clone();
            next.left.lost_answers -= 1;
            next.feed(index, event, out);
        }
    }

    fn outage(&self, index: usize, out: &mut Vec<Self>) {
        if self.left.outages > 0 {
            let mut next = self.clone();
            next.left.outages -= 1;
            next.feed(index, Event::StoreUnreachable, out);
        }
    }

    /// The answer reaches the caller unless it has given up.
    fn tell(&self, index: usize, outcome: Outcome, out: &mut Vec<Self>) {
        let mut next = self.clone();
        next.sends[index].stage = Stage::Over;
        if next.sends[index].known == Known::Open {
            next.sends[index].known = Known::Told(outcome);
            if outcome == Outcome::NotRun {
                next.not_run_up_to = Some(index);
            }
        }
        out.push(next);
    }
}

fn existing(row: Row) -> ExistingClaim {
    if row.done {
        ExistingClaim::Completed
    } else {
        ExistingClaim::Pending
    }
}

fn resendable(known: Known) -> bool {
    match known {
        Known::Open => false,
        Known::Told(outcome) => outcome != Outcome::Answered,
        Known::Lost => true,
    }
}

fn unresolved(send: &Send) -> bool {
    matches!(send.known, Known::Lost | Known::Told(Outcome::MayHaveRun))
}
