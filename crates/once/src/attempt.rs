//! State machine for one attempt at a non-idempotent request.

use {
    crate::Safeguards,
    wire::{Outcome, Reason},
};

/// State of a claim of another attempt under the same key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ExistingClaim {
    /// The other attempt holds the key and its outcome is not known.
    Pending,
    /// The other attempt has finished.
    Completed,
    /// The key was used for a different request.
    DifferentRequest,
}

/// Input of the state machine: what happened to the attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// The pool admitted the request.
    Admitted,
    /// The pool refused the request before a claim was written.
    Refused(Reason),
    /// The table service holds the claim of this attempt.
    Claimed,
    /// The table service holds the claim of another attempt under the key.
    KeyTaken(ExistingClaim),
    /// The response of the table service to a write or a read was lost.
    StoreResponseLost,
    /// The table service could not be reached, and nothing was sent to it.
    StoreUnreachable,
    /// The read found no claim under the key.
    ClaimAbsent,
    /// The pool granted a slot of a target.
    SlotGranted,
    /// The wait for a slot ended without a slot.
    SlotDenied(Reason),
    /// The connection to the target could not be opened, so nothing was sent.
    ConnectFailed,
    /// The target answered that it did not run the request.
    Shed,
    /// The complete response of the target arrived.
    Answered,
    /// The exchange broke off or timed out after the first byte was sent.
    ExchangeFailed(Reason),
}

/// Output of the state machine: what to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Insert the claim if the key is absent.
    InsertClaim,
    /// Read the key and compare its claim with that of this attempt.
    ReadBackClaim,
    /// Wait for a slot of a target.
    AwaitSlot,
    /// Send the request to the target whose slot was granted.
    Dispatch,
    /// Return the stored response of the finished attempt to the caller.
    ReplayResponse,
    /// Record the response and return it to the caller.
    RecordResponse,
    /// Refuse the request, after removing the claim if `release` is set.
    Refuse {
        /// What the caller may conclude.
        outcome: Outcome,
        /// Why the request is refused.
        reason: Reason,
        /// Whether to remove the claim of this attempt, if it exists.
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

/// One attempt at a non-idempotent request, from its arrival to its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Attempt {
    phase: Phase,
    safeguards: Safeguards,
    /// Whether the caller does not know the outcome of an earlier attempt under the key.
    has_unresolved_attempts: bool,
    lost_responses: u8,
    /// Whether an insert of the claim was attempted.
    has_attempted_insert: bool,
}

/// Lost responses that are tolerated, each followed by a read; one more, and the attempt is
/// refused because the table service is down.
const MAX_LOST_RESPONSES: u8 = 2;

impl Attempt {
    /// Starts an attempt. `has_unresolved_attempts` states that the caller does not know the
    /// outcome of an earlier attempt under the same key.
    #[must_use]
    pub fn new(safeguards: Safeguards, has_unresolved_attempts: bool) -> Self {
        Self {
            phase: Phase::Start,
            safeguards,
            has_unresolved_attempts,
            lost_responses: 0,
            has_attempted_insert: false,
        }
    }

    /// Whether the outcome has been decided.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Processes an event and returns what to do next.
    ///
    /// An event that is not expected in the current phase ends the attempt with "may have
    /// run", which is correct whatever happened.
    #[expect(clippy::match_same_arms, reason = "one line for each transition")]
    pub fn handle(&mut self, event: Event) -> Action {
        match (self.phase, event) {
            (Phase::Start, Event::Admitted) => self.insert_claim(),
            (Phase::Start, Event::Refused(reason)) => self.refuse_unsent(reason),
            (Phase::Inserting | Phase::ReadingBack, Event::Claimed) => self.await_slot(),
            (Phase::Inserting | Phase::ReadingBack, Event::KeyTaken(existing)) => {
                self.resolve_existing(existing)
            }
            (Phase::Inserting, Event::StoreResponseLost) => self.handle_lost_response(),
            (Phase::ReadingBack, Event::ClaimAbsent) => self.insert_claim(),
            (Phase::ReadingBack, Event::StoreResponseLost) => self.handle_lost_response(),
            (Phase::Inserting | Phase::ReadingBack, Event::StoreUnreachable) => {
                self.refuse_unsent(Reason::StoreDown)
            }
            (Phase::AwaitingSlot, Event::SlotGranted) => self.dispatch(),
            (Phase::AwaitingSlot, Event::SlotDenied(reason)) => self.refuse_unsent(reason),
            (Phase::Sent, Event::ConnectFailed | Event::Shed) => self.await_slot(),
            (Phase::Sent, Event::Answered) => self.record_response(),
            (Phase::Sent, Event::ExchangeFailed(reason)) => self.fail_exchange(reason),
            _ => self.end(Outcome::MayHaveRun, Reason::AnswerLost, false),
        }
    }

    /// Requests the insert of the claim.
    fn insert_claim(&mut self) -> Action {
        self.phase = Phase::Inserting;
        self.has_attempted_insert = true;
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

    fn record_response(&mut self) -> Action {
        self.phase = Phase::Ended;
        Action::RecordResponse
    }

    /// Requests a read of the key, since the write whose response was lost may have taken effect.
    fn handle_lost_response(&mut self) -> Action {
        if !self.safeguards.read_back {
            return self.await_slot();
        }
        self.lost_responses += 1;
        if self.lost_responses > MAX_LOST_RESPONSES {
            return self.refuse_unsent(Reason::StoreDown);
        }
        self.phase = Phase::ReadingBack;
        Action::ReadBackClaim
    }

    /// Ends the attempt because another attempt holds the key.
    fn resolve_existing(&mut self, existing: ExistingClaim) -> Action {
        match existing {
            ExistingClaim::Completed => {
                self.phase = Phase::Ended;
                Action::ReplayResponse
            }
            ExistingClaim::Pending => self.end(Outcome::MayHaveRun, Reason::InProgress, false),
            ExistingClaim::DifferentRequest => self.end(Outcome::NotRun, Reason::KeyReused, false),
        }
    }

    /// Ends the attempt after an exchange that may have run the request.
    fn fail_exchange(&mut self, reason: Reason) -> Action {
        if !self.safeguards.no_retry_after_send {
            return self.await_slot();
        }
        let release = !self.safeguards.release_only_unsent;
        self.end(Outcome::MayHaveRun, reason, release)
    }

    /// Ends the attempt without sending the request. The request may still have run in an
    /// earlier attempt whose outcome the caller does not know.
    fn refuse_unsent(&mut self, reason: Reason) -> Action {
        let may_have_run = self.has_unresolved_attempts && self.safeguards.check_unresolved;
        let outcome = if may_have_run {
            Outcome::MayHaveRun
        } else {
            Outcome::NotRun
        };
        self.end(outcome, reason, self.has_attempted_insert)
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
