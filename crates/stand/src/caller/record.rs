//! Result of one request as the caller sees it.

use {
    serde::{Deserialize, Serialize},
    wire::Outcome,
};

/// Outcome of a request as seen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// A complete response to this request arrived.
    Answered,
    /// A response arrived that was truncated or belongs to another request.
    #[serde(rename = "wrong-answer")]
    WrongResponse,
    /// A refusal states that the request did not run.
    NotRun,
    /// A refusal states that the request may have run.
    MayHaveRun,
    /// No complete response arrived.
    #[serde(rename = "nothing")]
    NoResponse,
}

impl From<Outcome> for Status {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered => Self::Answered,
            Outcome::NotRun => Self::NotRun,
            Outcome::MayHaveRun => Self::MayHaveRun,
        }
    }
}

/// Result of one request over all its sends.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// Name of the service.
    pub service: String,
    /// Token by which the caller recognises the response to its own request.
    pub token: String,
    /// Idempotency key; empty for an idempotent request.
    pub key: String,
    /// Outcome after the last send.
    pub status: Status,
    /// Reason of the last refusal; empty without one.
    pub reason: String,
    /// Number of sends, including attempts for which no VM was available.
    pub sends: u32,
    /// Time from the first send to the end of the request, waits included, in milliseconds.
    pub took_ms: f64,
    /// Duration of the last send, in milliseconds.
    #[serde(rename = "last_ms")]
    pub last_send_ms: f64,
    /// Whether the response was replayed from an earlier send.
    pub replayed: bool,
    /// Name of the target that responded; empty if unknown.
    pub target: String,
    /// Delay before the next send, in milliseconds: from the last refusal, or fixed after a
    /// failure.
    pub retry_after_ms: u64,
}
