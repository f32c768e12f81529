//! A caller's request and its answer, as they travel inside the process.

use {
    actix_web::web::Bytes,
    std::time::Duration,
    steer::Class,
    wire::{Header, Outcome, Reason},
};

/// A checked request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) operation: String,
    pub(crate) idempotent: bool,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// On the monotonic clock of this process.
    pub(crate) deadline: Duration,
    pub(crate) idempotency_key: String,
    pub(crate) unresolved_attempts: u32,
    /// Region of the caller.
    pub(crate) origin: String,
    pub(crate) fingerprint: String,
    /// Longest expected wait for a slot that is accepted at the site asked.
    pub(crate) max_wait: Duration,
}

/// What a caller is told.
#[derive(Debug, Clone)]
pub(crate) struct Response {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) retry_after: Duration,
    pub(crate) target: String,
    pub(crate) replayed: bool,
}

impl Response {
    /// An answer that no upstream gave. The status follows from the reason.
    pub(crate) fn refusal(outcome: Outcome, reason: Reason, retry_after: Duration) -> Self {
        Self {
            outcome,
            reason,
            status: http_status(reason),
            headers: Vec::new(),
            body: Bytes::new(),
            retry_after,
            target: String::new(),
            replayed: false,
        }
    }

    /// Whether another site may be asked: this send reached no upstream there.
    pub(crate) fn is_retryable_elsewhere(&self) -> bool {
        matches!(
            self.reason,
            Reason::Overloaded
                | Reason::CapReached
                | Reason::NoUpstream
                | Reason::NotOwner
                | Reason::VmUnreachable
                | Reason::Stopping
                | Reason::NotReady
        )
    }
}

impl Request {
    /// Kind of the work, by which pools share their slots.
    pub(crate) fn class(&self) -> Class {
        if self.idempotent {
            Class::Idempotent
        } else {
            Class::NonIdempotent
        }
    }

    /// The answer when all trace of a send was lost.
    pub(crate) fn refuse_unknown_outcome() -> Response {
        Response::refusal(
            Outcome::MayHaveRun,
            Reason::AnswerLost,
            Duration::from_secs(1),
        )
    }

    /// A refusal of a send that reached no upstream and never will. It says
    /// "not run" unless an earlier send of the key may have run.
    pub(crate) fn refuse_unsent(&self, reason: Reason, retry_after: Duration) -> Response {
        let doubtful = !self.idempotent && self.unresolved_attempts > 0;
        let outcome = if doubtful {
            Outcome::MayHaveRun
        } else {
            Outcome::NotRun
        };
        Response::refusal(outcome, reason, retry_after)
    }
}

fn http_status(reason: Reason) -> u16 {
    match reason {
        Reason::None => 200,
        Reason::Malformed | Reason::KeyMissing => 400,
        Reason::UnknownService | Reason::UnknownOperation => 404,
        Reason::PastDeadline => 408,
        Reason::InProgress => 409,
        Reason::KeyExpired => 410,
        Reason::TooLarge => 413,
        Reason::KeyReused => 422,
        Reason::Overloaded | Reason::CapReached => 429,
        Reason::AnswerLost | Reason::UpstreamBroke => 502,
        Reason::UpstreamTimeout => 504,
        Reason::NoUpstream
        | Reason::StoreDown
        | Reason::Quarantined
        | Reason::Stopping
        | Reason::NotReady
        | Reason::NotOwner
        | Reason::VmUnreachable => 503,
    }
}
