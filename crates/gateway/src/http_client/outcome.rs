//! Outcome of sending one request to one target.

use {
    super::{PartialResponse, ResponseBody, request::headers_length},
    balance::Feedback,
    hyper::{HeaderMap, StatusCode, body::Body},
    std::fmt,
};

/// A response whose request identifier and signature were checked. Its body is complete, or
/// streamed.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
    pub(crate) feedback: Feedback,
}

impl TargetResponse {
    /// Returns the length of the headers and the body.
    pub(crate) fn length(&self) -> usize {
        let body = self.body.size_hint().lower();
        headers_length(&self.headers) + usize::try_from(body).unwrap_or(usize::MAX)
    }
}

/// Why it is certain that the target did not run the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotExecutedReason {
    /// No connection could be opened.
    Unreachable,
    /// The connection closed before the first byte was sent.
    Unsent,
    /// The target stated that it did not run the request, as it is full or draining.
    Shed,
    /// A different target now has the address.
    Misdirected,
}

/// Why it is unknown whether the target ran a request that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseFault {
    /// The connection closed before a response.
    ConnectionLost,
    /// The target sent what is no HTTP response, or one whose status is that of no final response.
    Malformed,
    /// The response body ended early.
    Truncated,
    /// The response lacks a request identifier or carries that of another request.
    RequestIdMismatch,
    /// A success response carries no signature.
    Unsigned,
    /// The response does not fit the memory that this VM has left for bodies.
    TooLarge,
    /// The response was given up for another attempt, as VMs of earlier builds state.
    TooSlow,
}

/// Text of [`Outcome::Answered`] in logs, metrics and headers between VMs.
pub(super) const ANSWERED: &str = "answered";
/// Text of [`Outcome::TimedOut`] in logs, metrics and headers between VMs.
pub(super) const TIMED_OUT: &str = "timed-out";

/// Result of sending one request to one target.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The target returned a valid response, of any status.
    Answered(Box<TargetResponse>),
    /// The target did not run the request, so that any request may be retried.
    NotExecuted {
        reason: NotExecutedReason,
        /// What the target stated, if it responded.
        feedback: Option<Feedback>,
    },
    /// The request was sent but no valid response came; the target may have run it.
    Indeterminate(ResponseFault),
    /// The deadline passed before the response; the target may have run the request.
    TimedOut,
}

/// What an exchange with a target has led to.
#[derive(Debug)]
pub(crate) enum Reply {
    Ended(Outcome),
    /// The body of the response states no length, and goes on arriving.
    Partial(Box<PartialResponse>),
}

impl Outcome {
    /// Creates the outcome of a target to which no connection can be opened.
    pub(crate) fn unreachable() -> Self {
        Self::NotExecuted {
            reason: NotExecutedReason::Unreachable,
            feedback: None,
        }
    }

    /// Returns what the target stated about itself, if it responded.
    pub(crate) fn feedback(&self) -> Option<Feedback> {
        match self {
            Self::Answered(response) => Some(response.feedback),
            _ => self.rejection_feedback(),
        }
    }

    /// Returns what the target stated when it rejected the request.
    pub(crate) fn rejection_feedback(&self) -> Option<Feedback> {
        match self {
            Self::NotExecuted { feedback, .. } => *feedback,
            _ => None,
        }
    }

    /// Returns the text for logs, metrics and headers between VMs.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => ANSWERED,
            Self::NotExecuted { reason, .. } => reason.as_str(),
            Self::Indeterminate(fault) => fault.as_str(),
            Self::TimedOut => TIMED_OUT,
        }
    }
}

impl NotExecutedReason {
    const ALL: [Self; 4] = [
        Self::Unreachable,
        Self::Unsent,
        Self::Shed,
        Self::Misdirected,
    ];

    /// Parses the text that [`Self::as_str`] returns.
    pub(super) fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == text)
    }

    /// Returns the text for logs, metrics and headers between VMs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Unsent => "unsent",
            Self::Shed => "shed",
            Self::Misdirected => "misdirected",
        }
    }

    /// Returns whether a target received the request and rejected it.
    pub(crate) fn is_rejection(self) -> bool {
        matches!(self, Self::Shed | Self::Misdirected)
    }
}

impl ResponseFault {
    const ALL: [Self; 7] = [
        Self::ConnectionLost,
        Self::Malformed,
        Self::Truncated,
        Self::RequestIdMismatch,
        Self::Unsigned,
        Self::TooLarge,
        Self::TooSlow,
    ];

    /// Parses the text that [`Self::as_str`] returns.
    pub(super) fn parse(text: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.as_str() == text)
    }

    /// Returns whether the target may have crashed while it ran the request.
    pub(crate) fn may_be_crash(self) -> bool {
        matches!(self, Self::ConnectionLost | Self::Malformed)
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "lost",
            Self::Malformed => "malformed",
            Self::Truncated => "cut",
            Self::RequestIdMismatch => "foreign",
            Self::Unsigned => "unsigned",
            Self::TooLarge => "too-long",
            Self::TooSlow => "too-slow",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
