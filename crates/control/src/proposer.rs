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
    Unknown,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the document.
    Read,
    /// Write this document if the version before it is still in place.
    Write(Document),
    /// Tell the operator.
    Tell {
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
    op: String,
    change: Change,
    lost_answers: u8,
    conflicts: u8,
    wrote: bool,
    pending: Option<Document>,
    read_back: bool,
}

impl Proposer {
    /// Starts a proposal under an identifier that is unique to it.
    #[must_use]
    pub fn new(op: &str, change: Change) -> Self {
        Self {
            op: op.to_owned(),
            change,
            lost_answers: 0,
            conflicts: 0,
            wrote: false,
            pending: None,
            read_back: true,
        }
    }

    /// A variant that takes a lost answer for a failure; the model check refutes it.
    #[must_use]
    pub fn without_read_back(mut self) -> Self {
        self.read_back = false;
        self
    }

    /// Takes what the table service answered and says what to do next.
    pub fn on(&mut self, event: StoreEvent) -> Step {
        match event {
            StoreEvent::Read(document) => self.consider(document),
            StoreEvent::Written => tell(Verdict::Accepted, self.pending.clone()),
            StoreEvent::Conflict => self.conflict(),
            StoreEvent::Unknown => self.unknown(),
        }
    }

    fn consider(&mut self, base: Document) -> Step {
        if document::holds(&base, &self.op) {
            return tell(Verdict::Accepted, Some(base));
        }
        match document::apply(&base, &self.op, &self.change) {
            Ok(next) => {
                self.wrote = true;
                self.pending = Some(next.clone());
                Step::Write(next)
            }
            Err(rejection) => Step::Tell {
                verdict: Verdict::Conflict,
                document: Some(base),
                rejection: Some(rejection),
            },
        }
    }

    fn conflict(&mut self) -> Step {
        self.conflicts += 1;
        if self.conflicts > MAX_CONFLICTS {
            return tell(self.give_up(), None);
        }
        Step::Read
    }

    fn unknown(&mut self) -> Step {
        if !self.read_back {
            return tell(Verdict::Conflict, None);
        }
        self.lost_answers += 1;
        if self.lost_answers > MAX_LOST_ANSWERS {
            return tell(self.give_up(), None);
        }
        Step::Read
    }

    /// Nothing was written yet, or a write may still take effect.
    fn give_up(&self) -> Verdict {
        if self.wrote {
            Verdict::Unknown
        } else {
            Verdict::Invalid
        }
    }
}

fn tell(verdict: Verdict, document: Option<Document>) -> Step {
    Step::Tell {
        verdict,
        document,
        rejection: None,
    }
}
