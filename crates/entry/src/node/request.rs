//! A caller's request and the response to it, independent of the HTTP server.

use {
    actix_web::web::Bytes,
    std::time::Duration,
    steer::RequestClass,
    wire::{Header, Outcome, Reason},
};

/// A validated request of a caller.
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
    /// Deadline on the monotonic clock of this process.
    pub(crate) deadline: Duration,
    /// Idempotency key; empty if the caller sent none.
    pub(crate) idempotency_key: String,
    /// Earlier attempts with the same key whose outcome the caller does not know.
    pub(crate) unresolved_attempts: u32,
    /// Region of the caller.
    pub(crate) origin: String,
    /// Hash of the request, which identifies its repetitions.
    pub(crate) fingerprint: String,
    /// Longest expected wait for a slot that is accepted in the site.
    pub(crate) max_wait: Duration,
}

/// The response to a caller: that of an upstream, or a refusal.
#[derive(Debug, Clone)]
pub(crate) struct Response {
    pub(crate) outcome: Outcome,
    pub(crate) reason: Reason,
    /// HTTP status code.
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    /// Time after which the caller may retry; zero if a retry would not help or is not needed.
    pub(crate) retry_after: Duration,
    /// Name of the target that responded; empty if none did.
    pub(crate) target: String,
    /// Whether this is the recorded response of an earlier attempt.
    pub(crate) replayed: bool,
}

impl Response {
    /// Returns a refusal. Its HTTP status follows from the reason.
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

    /// Whether another site may be tried: the request reached no upstream, or it is
    /// idempotent and may run again.
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
    /// Returns the class by which pools divide their slots between requests.
    pub(crate) fn class(&self) -> RequestClass {
        if self.idempotent {
            RequestClass::Idempotent
        } else {
            RequestClass::NonIdempotent
        }
    }

    /// Returns the response when it is unknown whether the request has run.
    pub(crate) fn refuse_unknown_outcome() -> Response {
        Response::refusal(
            Outcome::MayHaveRun,
            Reason::AnswerLost,
            Duration::from_secs(1),
        )
    }

    /// Returns the refusal of an attempt that has reached no upstream and never will.
    /// Its outcome is "not run" unless an earlier attempt with the key may have run.
    pub(crate) fn refuse_unsent(&self, reason: Reason, retry_after: Duration) -> Response {
        let may_have_run = !self.idempotent && self.unresolved_attempts > 0;
        let outcome = if may_have_run {
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
