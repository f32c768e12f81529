//! State machine of one send of a non-idempotent request.

use {
    crate::Rules,
    wire::{Outcome, Reason},
};

/// What the table service holds under the key, when it is not ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Existing {
    /// Another send holds the key and its end is not known.
    Claimed,
    /// Another send has finished.
    Done,
    /// The key was used for a different request.
    OtherRequest,
}

/// What happened to an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// The pool took the request into its queue.
    Admitted,
    /// The pool refused the request before any claim.
    Refused(Reason),
    /// The table service wrote our claim.
    Claimed,
    /// The table service holds another claim under the key.
    Taken(Existing),
    /// The answer to our write, or to a read, was lost.
    StoreUnknown,
    /// The table service cannot be reached and nothing was sent to it.
    StoreDown,
    /// Reading back found no claim under the key.
    Absent,
    /// A slot of a target is ours.
    SlotGranted,
    /// The wait for a slot ended without one.
    SlotLost(Reason),
    /// The connection to the target could not be opened, so nothing was sent.
    ConnectFailed,
    /// The target said that it did not run the request.
    Shed,
    /// The target's whole answer arrived.
    Answered,
    /// The exchange broke or timed out after the first byte was written.
    Broke(Reason),
}

/// What the caller of the state machine has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Insert the claim if the key is absent.
    Insert,
    /// Read the key and compare it with our claim.
    ReadBack,
    /// Wait for a slot.
    AwaitSlot,
    /// Send the request to the target whose slot was granted.
    Dispatch,
    /// Give the caller the stored answer of the finished send.
    Replay,
    /// Record the answer and give it to the caller.
    Finish,
    /// Tell the caller; `release` says whether our claim is to be removed first.
    Refuse {
        /// What the caller may conclude.
        outcome: Outcome,
        /// Why.
        reason: Reason,
        /// Whether our claim, if it exists, is to be removed.
        release: bool,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    Start,
    Inserting,
    ReadingBack,
    Waiting,
    Sent,
    Ended,
}

/// One send of a non-idempotent request, from its arrival to its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Attempt {
    phase: Phase,
    rules: Rules,
    unresolved: bool,
    read_backs: u8,
    inserted: bool,
}

/// Reads after a lost answer before the store counts as down.
const MAX_READ_BACKS: u8 = 2;

impl Attempt {
    /// Starts an attempt; `unresolved` says whether the caller does not know the
    /// end of an earlier send of the same key.
    #[must_use]
    pub fn new(rules: Rules, unresolved: bool) -> Self {
        Self {
            phase: Phase::Start,
            rules,
            unresolved,
            read_backs: 0,
            inserted: false,
        }
    }

    /// Whether the outcome has been decided.
    #[must_use]
    pub fn ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Takes an event and says what to do next.
    ///
    /// An event that does not fit the phase ends the attempt with "may have run",
    /// which is true whatever happened.
    #[expect(clippy::match_same_arms, reason = "one line for each transition")]
    pub fn on(&mut self, event: Event) -> Action {
        match (self.phase, event) {
            (Phase::Start, Event::Admitted) => self.insert(),
            (Phase::Start, Event::Refused(reason)) => self.refuse_unsent(reason),
            (Phase::Inserting | Phase::ReadingBack, Event::Claimed) => self.wait(),
            (Phase::Inserting | Phase::ReadingBack, Event::Taken(existing)) => self.taken(existing),
            (Phase::Inserting, Event::StoreUnknown) => self.lost_answer(),
            (Phase::ReadingBack, Event::Absent) => self.insert(),
            (Phase::ReadingBack, Event::StoreUnknown) => self.lost_answer(),
            (Phase::Inserting | Phase::ReadingBack, Event::StoreDown) => {
                self.refuse_unsent(Reason::StoreDown)
            }
            (Phase::Waiting, Event::SlotGranted) => self.dispatch(),
            (Phase::Waiting, Event::SlotLost(reason)) => self.refuse_unsent(reason),
            (Phase::Sent, Event::ConnectFailed | Event::Shed) => self.wait(),
            (Phase::Sent, Event::Answered) => self.finish(),
            (Phase::Sent, Event::Broke(reason)) => self.broke(reason),
            _ => self.end(Outcome::MayHaveRun, Reason::AnswerLost, false),
        }
    }

    fn insert(&mut self) -> Action {
        self.phase = Phase::Inserting;
        self.inserted = true;
        Action::Insert
    }

    fn wait(&mut self) -> Action {
        self.phase = Phase::Waiting;
        Action::AwaitSlot
    }

    fn dispatch(&mut self) -> Action {
        self.phase = Phase::Sent;
        Action::Dispatch
    }

    fn finish(&mut self) -> Action {
        self.phase = Phase::Ended;
        Action::Finish
    }

    fn lost_answer(&mut self) -> Action {
        if !self.rules.read_back {
            return self.wait();
        }
        self.read_backs += 1;
        if self.read_backs > MAX_READ_BACKS {
            return self.refuse_unsent(Reason::StoreDown);
        }
        self.phase = Phase::ReadingBack;
        Action::ReadBack
    }

    fn taken(&mut self, existing: Existing) -> Action {
        match existing {
            Existing::Done => {
                self.phase = Phase::Ended;
                Action::Replay
            }
            Existing::Claimed => self.end(Outcome::MayHaveRun, Reason::InProgress, false),
            Existing::OtherRequest => self.end(Outcome::NotRun, Reason::KeyReused, false),
        }
    }

    fn broke(&mut self, reason: Reason) -> Action {
        if !self.rules.no_retry_after_send {
            return self.wait();
        }
        let release = !self.rules.release_only_unsent;
        self.end(Outcome::MayHaveRun, reason, release)
    }

    /// This attempt was never sent and never will be. Whether the request as such
    /// ran depends on earlier sends that the caller lost sight of.
    fn refuse_unsent(&mut self, reason: Reason) -> Action {
        let doubtful = self.unresolved && self.rules.mind_unresolved;
        let outcome = if doubtful {
            Outcome::MayHaveRun
        } else {
            Outcome::NotRun
        };
        self.end(outcome, reason, self.inserted)
    }

    fn end(&mut self, outcome: Outcome, reason: Reason, release: bool) -> Action {
        self.phase = Phase::Ended;
        Action::Refuse {
            outcome,
            reason,
            release,
        }
    }
}
