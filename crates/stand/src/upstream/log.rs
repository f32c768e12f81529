//! Log of the requests that targets ran, which tests check against callers' records.

use {
    serde::{Deserialize, Serialize},
    std::{
        sync::Mutex,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// One request that a target started to run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Run {
    /// Name of the target.
    pub target: String,
    /// Availability zone of the target.
    pub zone: String,
    /// Service of the target.
    pub service: String,
    /// Idempotency key; empty without one.
    pub key: String,
    /// Path and query of the request.
    pub path: String,
    /// Request identifier that the entry VM assigned.
    #[serde(rename = "request")]
    pub request_id: String,
    /// Start of the run, in milliseconds since the Unix epoch.
    #[serde(rename = "at_ms")]
    pub started_at_ms: u64,
    /// Number of requests that the target was running at the start, this one included.
    pub running: u32,
    /// Number of slots of the target.
    pub slots: u32,
}

/// Runs and refusals of all targets of a process.
#[derive(Debug, Default)]
pub(crate) struct Log {
    runs: Mutex<Vec<Run>>,
    sheds: Mutex<u64>,
}

impl Log {
    pub(crate) fn add_run(&self, run: Run) {
        if let Ok(mut runs) = self.runs.lock() {
            runs.push(run);
        }
    }

    pub(crate) fn count_shed(&self) {
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

    pub(crate) fn shed_count(&self) -> u64 {
        self.sheds.lock().map(|sheds| *sheds).unwrap_or_default()
    }
}

/// Returns the system time in milliseconds since the Unix epoch.
pub(crate) fn unix_time_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
