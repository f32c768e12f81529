//! What a caller was told about one request.

use {
    serde::{Deserialize, Serialize},
    wire::Outcome,
};

/// What a caller knows at the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Status {
    /// The whole answer, and it was its own.
    Answered,
    /// An answer that was cut short or not its own.
    WrongAnswer,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    MayHaveRun,
    /// No answer at all.
    #[serde(rename = "nothing")]
    NoAnswer,
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

/// One request from its first send to the end.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Record {
    /// Service that was asked.
    pub service: String,
    /// Token by which the caller knows its own answer.
    pub token: String,
    /// Idempotency key; empty for an idempotent request.
    pub key: String,
    /// What the caller knows at the end.
    pub status: Status,
    /// Reason of the last refusal.
    pub reason: String,
    /// Times it was sent.
    pub sends: u32,
    /// Time from the first send to the end, in milliseconds.
    pub took_ms: f64,
    /// Time of the last send to its answer, in milliseconds.
    #[serde(rename = "last_ms")]
    pub last_send_ms: f64,
    /// Whether the answer was one given before.
    pub replayed: bool,
    /// Target that answered.
    pub target: String,
    /// When to come back, as told last, in milliseconds.
    pub retry_after_ms: u64,
}
