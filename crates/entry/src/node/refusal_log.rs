//! Log of the most recent refusals, which the state dump shows.

use {
    super::{Request, Response},
    serde::Serialize,
    std::collections::VecDeque,
    wire::{Outcome, Reason},
};

const MAX_REFUSALS: usize = 64;

/// An attempt to place a request in a site, or a site skipped because of its expected wait.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct SiteAttempt {
    pub(crate) site: String,
    /// Expected wait in the site, in milliseconds.
    pub(crate) wait_ms: u32,
    /// Longest expected wait that was accepted, in milliseconds.
    #[serde(rename = "patience_ms")]
    pub(crate) max_wait_ms: u32,
    /// Reason that the site gave; `None` if the site was skipped.
    pub(crate) reason: Option<Reason>,
}

/// A request that ended without a response of an upstream.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Refusal {
    request: String,
    service: String,
    operation: String,
    origin: String,
    outcome: Outcome,
    reason: Reason,
    #[serde(rename = "asked")]
    attempts: Vec<SiteAttempt>,
}

/// The most recent refusals, oldest first.
#[derive(Default)]
pub(crate) struct RefusalLog {
    entries: VecDeque<Refusal>,
}

impl RefusalLog {
    /// Adds a refusal; the oldest one is dropped when the log is full.
    pub(crate) fn push(
        &mut self,
        request: &Request,
        response: &Response,
        attempts: Vec<SiteAttempt>,
    ) {
        if self.entries.len() == MAX_REFUSALS {
            self.entries.pop_front();
        }
        self.entries.push_back(Refusal {
            request: request.id.clone(),
            service: request.service.clone(),
            operation: request.operation.clone(),
            origin: request.origin.clone(),
            outcome: response.outcome,
            reason: response.reason,
            attempts,
        });
    }

    /// Returns all refusals, oldest first.
    pub(crate) fn all(&self) -> &VecDeque<Refusal> {
        &self.entries
    }
}
