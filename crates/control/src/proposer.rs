//! Writes a change of the control document to the table service by compare-and-set.

use {
    crate::{Change, Document, Rejection, document},
    wire::Verdict,
};

/// Lost responses that are tolerated, each followed by a read; one more, and the change is given
/// up.
const MAX_LOST_RESPONSES: u8 = 5;
/// Version conflicts that are tolerated, each followed by a read; one more, and the change is
/// given up.
const MAX_CONFLICTS: u8 = 16;

/// Input of the state machine: result of a read or write in the table service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StoreEvent {
    /// The read returned this document.
    Read(Document),
    /// The write took effect.
    Written,
    /// The write failed because the document has another version.
    Conflict,
    /// The response was lost; the write may or may not have taken effect.
    ResponseLost,
}

/// Output of the state machine: what to do next for a change.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Read the document.
    ReadDocument,
    /// Write this document if the stored one still has the version that was read.
    WriteDocument(Document),
    /// Report the verdict to the operator.
    ReportVerdict {
        /// Whether the change took effect.
        verdict: Verdict,
        /// The document that the verdict is based on, if it is known.
        document: Option<Document>,
        /// Why the change was rejected, if it was.
        rejection: Option<Rejection>,
    },
}

/// Writes one change, with retries after conflicts and lost responses.
///
/// A retry reads the document first, so a change whose write took effect although its
/// response was lost is not applied twice.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proposer {
    operation_id: String,
    change: Change,
    lost_responses: u8,
    conflicts: u8,
    /// Whether a write was attempted.
    has_written: bool,
    /// The document of the last write.
    pending_write: Option<Document>,
    /// Whether to read the document after a lost response.
    reads_back: bool,
}

impl Proposer {
    /// Creates the proposer of `change`. `operation_id` must be unique to the change; it
    /// makes retries idempotent.
    #[must_use]
    pub fn new(operation_id: &str, change: Change) -> Self {
        Self {
            operation_id: operation_id.to_owned(),
            change,
            lost_responses: 0,
            conflicts: 0,
            has_written: false,
            pending_write: None,
            reads_back: true,
        }
    }

    /// Disables the read after a lost response, which then counts as a conflict. This variant is
    /// wrong; the model check must find that.
    #[must_use]
    pub fn without_read_back(mut self) -> Self {
        self.reads_back = false;
        self
    }

    /// Processes a result of the table service and returns what to do next.
    pub fn handle(&mut self, event: StoreEvent) -> Action {
        match event {
            StoreEvent::Read(document) => self.propose_on(document),
            StoreEvent::Written => report(Verdict::Accepted, self.pending_write.clone()),
            StoreEvent::Conflict => self.handle_conflict(),
            StoreEvent::ResponseLost => self.handle_lost_response(),
        }
    }

    /// Applies the change to the document that was read, unless it is already part of it.
    fn propose_on(&mut self, base: Document) -> Action {
        if document::contains_change(&base, &self.operation_id) {
            return report(Verdict::Accepted, Some(base));
        }
        match document::apply_change(&base, &self.operation_id, &self.change) {
            Ok(next) => {
                self.has_written = true;
                self.pending_write = Some(next.clone());
                Action::WriteDocument(next)
            }
            Err(rejection) => Action::ReportVerdict {
                verdict: Verdict::Conflict,
                document: Some(base),
                rejection: Some(rejection),
            },
        }
    }

    fn handle_conflict(&mut self) -> Action {
        self.conflicts += 1;
        if self.conflicts > MAX_CONFLICTS {
            return report(self.unconfirmed_verdict(), None);
        }
        Action::ReadDocument
    }

    fn handle_lost_response(&mut self) -> Action {
        if !self.reads_back {
            return report(Verdict::Conflict, None);
        }
        self.lost_responses += 1;
        if self.lost_responses > MAX_LOST_RESPONSES {
            return report(self.unconfirmed_verdict(), None);
        }
        Action::ReadDocument
    }

    /// Returns the verdict on a change that is given up: unknown if a write may still take
    /// effect, else invalid, since nothing was written.
    fn unconfirmed_verdict(&self) -> Verdict {
        if self.has_written {
            Verdict::Unknown
        } else {
            Verdict::Invalid
        }
    }
}

fn report(verdict: Verdict, document: Option<Document>) -> Action {
    Action::ReportVerdict {
        verdict,
        document,
        rejection: None,
    }
}
