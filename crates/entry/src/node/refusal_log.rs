//! The last refusals, so that a dump explains them.

use {
    super::{Request, Response},
    serde::Serialize,
    std::collections::VecDeque,
    wire::{Outcome, Reason},
};

const KEPT: usize = 64;

/// A site that was asked for a request, or passed over because of its wait.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct SiteAttempt {
    pub(crate) site: String,
    /// Wait that was expected there, in milliseconds.
    pub(crate) wait_ms: u32,
    /// Longest wait that was accepted, in milliseconds.
    pub(crate) patience_ms: u32,
    /// What the site said; nothing when it was passed over.
    pub(crate) reason: Option<Reason>,
}

/// A request that got no upstream's answer, and why.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Refusal {
    request: String,
    service: String,
    operation: String,
    origin: String,
    outcome: Outcome,
    reason: Reason,
    asked: Vec<SiteAttempt>,
}

/// The last refusals, newest last.
#[derive(Default)]
pub(crate) struct RefusalLog {
    last: VecDeque<Refusal>,
}

impl RefusalLog {
    pub(crate) fn push(&mut self, request: &Request, answer: &Response, asked: Vec<SiteAttempt>) {
        if self.last.len() == KEPT {
            self.last.pop_front();
        }
        self.last.push_back(Refusal {
            request: request.id.clone(),
            service: request.service.clone(),
            operation: request.operation.clone(),
            origin: request.origin.clone(),
            outcome: answer.outcome,
            reason: answer.reason,
            asked,
        });
    }

    pub(crate) fn all(&self) -> &VecDeque<Refusal> {
        &self.last
    }
}
