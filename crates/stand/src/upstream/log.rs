//! The log of runs, which tests judge by.

use {
    serde::{Deserialize, Serialize},
    std::{
        sync::Mutex,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// One request that a target began to run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Run {
    /// Target that ran it.
    pub target: String,
    /// Availability zone of the target.
    pub zone: String,
    /// Service of the target.
    pub service: String,
    /// Idempotency key; empty when there was none.
    pub key: String,
    /// Path and query.
    pub path: String,
    /// Identifier that the entry VM gave the request.
    #[serde(rename = "request")]
    pub request_id: String,
    /// When the run began, in milliseconds since the epoch.
    #[serde(rename = "at_ms")]
    pub started_at_ms: u64,
    /// Requests that the target ran at that moment, this one included.
    pub running: u32,
    /// Slots of the target.
    pub slots: u32,
}

/// What a process of targets has seen.
#[derive(Debug, Default)]
pub(crate) struct Log {
    runs: Mutex<Vec<Run>>,
    sheds: Mutex<u64>,
}

impl Log {
    pub(crate) fn add(&self, run: Run) {
        if let Ok(mut runs) = self.runs.lock() {
            runs.push(run);
        }
    }

    pub(crate) fn note_shed(&self) {
        if let Ok(mut sheds) = self.sheds.lock() {
            *sheds += 1;
        }
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .map(|runs| runs.clone())
            .unwrap_or_default()
    }

    pub(crate) fn sheds(&self) -> u64 {
        self.sheds.lock().map(|sheds| *sheds).unwrap_or_default()
    }
}

pub(crate) fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
