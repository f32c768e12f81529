//! What passes from one owner of a customer to the next one.

use std::time::Duration;

/// Time after which a claim without an answer is repeated.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of claims after which the owner before counts as gone.
const MAX_CLAIMS: u32 = 2;

/// What a VM gave out lately, for the VM that owns the customer after it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Handover {
    /// For how long the sender has been the owner; `None` if it was not.
    pub owner_for: Option<Duration>,
    /// Tokens in its bucket.
    pub level: f64,
    /// Age and number of the tokens that still count, the oldest first.
    pub grants: Vec<(Duration, u32)>,
}

/// What a VM does with a question for tokens of a customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stance {
    /// It answers.
    Grant,
    /// It asks the next VM in rank, which was the owner before, for what it gave out.
    Claim,
    /// It waits for the answer to that, at most so long.
    Wait(Duration),
    /// It passes the question on to the VM that took the customer over.
    Forward {
        /// That VM, as it was named in its claim.
        to: String,
    },
}

/// The claim of a new owner to the knowledge of the one before.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Claim {
    sent: u32,
    sent_at: Duration,
    is_closed: bool,
}

impl Claim {
    /// Returns what a new owner does next; a claim counts as sent.
    pub(super) fn next_step(&mut self, now: Duration) -> Stance {
        if self.is_closed {
            return Stance::Grant;
        }
        let timeout_at = self.sent_at + CLAIM_TIMEOUT;
        if self.sent > 0 && now < timeout_at {
            return Stance::Wait(timeout_at.saturating_sub(now));
        }
        if self.sent == MAX_CLAIMS {
            self.is_closed = true;
            return Stance::Grant;
        }
        self.sent += 1;
        self.sent_at = now;
        Stance::Claim
    }

    /// Ends the claim, answered or not.
    pub(super) fn close(&mut self) {
        self.is_closed = true;
    }
}
