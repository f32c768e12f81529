//! Carries one change into the table service by compare-and-set.

use {
    crate::{Change, Document, Rejection, document},
    wire::Verdict,
};

/// Writes whose answer was lost before the operator is told "unknown".
const MAX_LOST_ANSWERS: u8 = 5;
/// Lost races before a mark is given up.
const MAX_CONFLICTS: u8 = 16;

/// What the table service answered.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StoreEvent {
    /// The document as it stands.
    Read(Document),
    /// The write took effect.
    Written,
    /// The write met another version.
    Conflict,
    /// The answer was lost; the write may or may not have taken effect.
    AnswerLost,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the document.
    Read,
    /// Write this document if the version before it is still in place.
    Write(Document),
    /// Tell the operator.
    Report {
        /// What became of the change.
        verdict: Verdict,
        /// The document that decided it, when one was seen.
        document: Option<Document>,
        /// Why it was rejected.
        rejection: Option<Rejection>,
    },
}

/// One change on its way into the table service.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proposer {
    operation_id: String,
    change: Change,
    lost_answers: u8,
    conflicts: u8,
    has_written: bool,
    pending_write: Option<Document>,
    reads_back: bool,
}

impl Proposer {
    /// Starts a proposal under an identifier that is unique to it.
    #[must_use]
    pub fn new(operation_id: &str, change: Change) -> Self {
        Self {
            operation_id: operation_id.to_owned(),
            change,
            lost_answers: 0,
            conflicts: 0,
            has_written: false,
            pending_write: None,
            reads_back: true,
        }
    }

    /// A variant that takes a lost answer for a failure; the model check refutes it.
    #[must_use]
    pub fn without_read_back(mut self) -> Self {
        self.reads_back = false;
        self
    }

    /// Takes what the table service answered and says what to do next.
    pub fn handle(&mut self, event: StoreEvent) -> Step {
        match event {
            StoreEvent::Read(document) => self.propose_on(document),
            StoreEvent::Written => report(Verdict::Accepted, self.pending_write.clone()),
            StoreEvent::Conflict => self.handle_conflict(),
            StoreEvent::AnswerLost => self.handle_lost_answer(),
        }
    }

    fn propose_on(&mut self, base: Document) -> Step {
        if document::contains_change(&base, &self.operation_id) {
            return report(Verdict::Accepted, Some(base));
        }
        match document::apply_change(&base, &self.operation_id, &self.change) {
            Ok(next) => {
                self.has_written = true;
                self.pending_write = Some(next.clone());
                Step::Write(next)
            }
            Err(rejection) => Step::Report {
                verdict: Verdict::Conflict,
                document: Some(base),
                rejection: Some(rejection),
            },
        }
    }

    fn handle_conflict(&mut self) -> Step {
        self.conflicts += 1;
        if self.conflicts > MAX_CONFLICTS {
            return report(self.unconfirmed_verdict(), None);
        }
        Step::Read
    }

    fn handle_lost_answer(&mut self) -> Step {
        if !self.reads_back {
            return report(Verdict::Conflict, None);
        }
        self.lost_answers += 1;
        if self.lost_answers > MAX_LOST_ANSWERS {
            return report(self.unconfirmed_verdict(), None);
        }
        Step::Read
    }

    /// Nothing was written yet, or a write may still take effect.
    fn unconfirmed_verdict(&self) -> Verdict {
        if self.has_written {
            Verdict::Unknown
        } else {
            Verdict::Invalid
        }
    }
}

fn report(verdict: Verdict, document: Option<Document>) -> Step {
    Step::Report {
        verdict,
        document,
        rejection: None,
    }
}
