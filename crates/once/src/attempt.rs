//! State machine of one send of a non-idempotent request.

use {
    crate::Safeguards,
    wire::{Outcome, Reason},
};

/// What the table service holds under the key, when it is not ours.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExistingClaim {
    /// Another send holds the key and its end is not known.
    Pending,
    /// Another send has finished.
    Completed,
    /// The key was used for a different request.
    DifferentRequest,
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
    KeyTaken(ExistingClaim),
    /// The answer to our write, or to a read, was lost.
    StoreAnswerLost,
    /// The table service cannot be reached and nothing was sent to it.
    StoreUnreachable,
    /// Reading back found no claim under the key.
    ClaimAbsent,
    /// A slot of a target is ours.
    SlotGranted,
    /// The wait for a slot ended without one.
    SlotDenied(Reason),
    /// The connection to the target could not be opened, so nothing was sent.
    ConnectFailed,
    /// The target said that it did not run the request.
    Shed,
    /// The target's whole answer arrived.
    Answered,
    /// The exchange broke or timed out after the first byte was written.
    ExchangeFailed(Reason),
}

/// What the caller of the state machine has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Insert the claim if the key is absent.
    InsertClaim,
    /// Read the key and compare it with our claim.
    ReadBackClaim,
    /// Wait for a slot.
    AwaitSlot,
    /// Send the request to the target whose slot was granted.
    Dispatch,
    /// Give the caller the stored answer of the finished send.
    ReplayAnswer,
    /// Record the answer and give it to the caller.
    RecordAnswer,
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
    AwaitingSlot,
    Sent,
    Ended,
}

/// One send of a non-idempotent request, from its arrival to its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Attempt {
    phase: Phase,
    safeguards: Safeguards,
    has_unresolved_sends: bool,
    lost_answers: u8,
    claim_inserted: bool,
}

/// Reads after a lost answer before the store counts as down.
const MAX_LOST_ANSWERS: u8 = 2;

impl Attempt {
    /// Starts an attempt; `has_unresolved_sends` says whether the caller does not know the
    /// end of an earlier send of the same key.
    #[must_use]
    pub fn new(safeguards: Safeguards, has_unresolved_sends: bool) -> Self {
        Self {
            phase: Phase::Start,
            safeguards,
            has_unresolved_sends,
            lost_answers: 0,
            claim_inserted: false,
        }
    }

    /// Whether the outcome has been decided.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Takes an event and says what to do next.
    ///
    /// An event that does not fit the phase ends the attempt with "may have run",
    /// which is true whatever happened.
    #[expect(clippy::match_same_arms, reason = "one line for each transition")]
    pub fn handle(&mut self, event: Event) -> Action {
        match (self.phase, event) {
            (Phase::Start, Event::Admitted) => self.insert_claim(),
            (Phase::Start, Event::Refused(reason)) => self.refuse_unsent(reason),
            (Phase::Inserting | Phase::ReadingBack, Event::Claimed) => self.await_slot(),
            (Phase::Inserting | Phase::ReadingBack, Event::KeyTaken(existing)) => {
                self.resolve_existing(existing)
            }
            (Phase::Inserting, Event::StoreAnswerLost) => self.retry_after_lost_answer(),
            (Phase::ReadingBack, Event::ClaimAbsent) => self.insert_claim(),
            (Phase::ReadingBack, Event::StoreAnswerLost) => self.retry_after_lost_answer(),
            (Phase::Inserting | Phase::ReadingBack, Event::StoreUnreachable) => {
                self.refuse_unsent(Reason::StoreDown)
            }
            (Phase::AwaitingSlot, Event::SlotGranted) => self.dispatch(),
            (Phase::AwaitingSlot, Event::SlotDenied(reason)) => self.refuse_unsent(reason),
            (Phase::Sent, Event::ConnectFailed | Event::Shed) => self.await_slot(),
            (Phase::Sent, Event::Answered) => self.record_answer(),
            (Phase::Sent, Event::ExchangeFailed(reason)) => self.fail_exchange(reason),
            _ => self.end(Outcome::MayHaveRun, Reason::AnswerLost, false),
        }
    }

    fn insert_claim(&mut self) -> Action {
        self.phase = Phase::Inserting;
        self.claim_inserted = true;
        Action::InsertClaim
    }

    fn await_slot(&mut self) -> Action {
        self.phase = Phase::AwaitingSlot;
        Action::AwaitSlot
    }

    fn dispatch(&mut self) -> Action {
        self.phase = Phase::Sent;
        Action::Dispatch
    }

    fn record_answer(&mut self) -> Action {
        self.phase = Phase::Ended;
        Action::RecordAnswer
    }

    fn retry_after_lost_answer(&mut self) -> Action {
        if !self.safeguards.read_back {
            return self.await_slot();
        }
        self.lost_answers += 1;
        if self.lost_answers > MAX_LOST_ANSWERS {
            return self.refuse_unsent(Reason::StoreDown);
        }
        self.phase = Phase::ReadingBack;
        Action::ReadBackClaim
    }

    fn resolve_existing(&mut self, existing: ExistingClaim) -> Action {
        match existing {
            ExistingClaim::Completed => {
                self.phase = Phase::Ended;
                Action::ReplayAnswer
            }
            ExistingClaim::Pending => self.end(Outcome::MayHaveRun, Reason::InProgress, false),
            ExistingClaim::DifferentRequest => self.end(Outcome::NotRun, Reason::KeyReused, false),
        }
    }

    fn fail_exchange(&mut self, reason: Reason) -> Action {
        if !self.safeguards.no_retry_after_send {
            return self.await_slot();
        }
        let release = !self.safeguards.release_only_unsent;
        self.end(Outcome::MayHaveRun, reason, release)
    }

    /// This attempt was never sent and never will be. Whether the request as such
    /// ran depends on earlier sends that the caller lost sight of.
    fn refuse_unsent(&mut self, reason: Reason) -> Action {
        let has_unresolved_send = self.has_unresolved_sends && self.safeguards.check_unresolved;
        let outcome = if has_unresolved_send {
            Outcome::MayHaveRun
        } else {
            Outcome::NotRun
        };
        self.end(outcome, reason, self.claim_inserted)
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
