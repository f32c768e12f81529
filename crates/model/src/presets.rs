//! Operators that change the control document, and VMs that put it in force.

use {
    control::{Change, Document, Proposer, Replica, Step, StoreEvent},
    wire::Verdict,
};

/// How much may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// VMs that put documents in force.
    pub vms: usize,
    /// Answers of the table service that are lost, or writes that are late.
    pub lost_answers: u8,
    /// Restarts of VMs, which forget everything.
    pub restarts: u8,
}

/// The protocol, or a weakened form of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Variant {
    /// As it ships.
    Strict,
    /// Applies any version that arrives.
    AnyVersion,
    /// Takes a lost answer for a refusal.
    NoReadBack,
    /// Writes without comparing versions.
    BlindWrite,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Operator {
    proposer: Proposer,
    step: Step,
    told: Option<Verdict>,
    /// Writes on their way whose answers nobody awaits.
    late: Vec<Document>,
    base: u64,
}

/// Everything at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    variant: Variant,
    left: Bounds,
    stored: Document,
    operators: Vec<Operator>,
    replicas: Vec<Replica>,
    /// Documents that travel between VMs; they may arrive late and again.
    messages: Vec<Document>,
    stepped_back: bool,
    /// Changes that took effect in the table service at any time.
    effective: Vec<String>,
}

impl World {
    /// VMs that know the first document, and operators about to change it.
    #[must_use]
    pub fn new(variant: Variant, bounds: Bounds, changes: &[(&str, Change)]) -> Self {
        let stored = control::initial_document("ordinary");
        let mut replica = Replica::default();
        replica.adopt(&stored);
        let operator = |(op, change): &(&str, Change)| {
            let proposer = Proposer::new(op, change.clone());
            Operator {
                proposer: if variant == Variant::NoReadBack {
                    proposer.without_read_back()
                } else {
                    proposer
                },
                step: Step::Read,
                told: None,
                late: Vec::new(),
                base: 0,
            }
        };
        Self {
            variant,
            left: bounds,
            operators: changes.iter().map(operator).collect(),
            replicas: vec![replica; bounds.vms],
            messages: vec![stored.clone()],
            stored,
            stepped_back: false,
            effective: Vec::new(),
        }
    }

    /// Whether a VM has gone back to a lower version.
    #[must_use]
    pub fn stepped_back(&self) -> bool {
        self.stepped_back
    }

    /// Whether two documents with one version differ.
    #[must_use]
    pub fn split(&self) -> bool {
        let mut seen = self.messages.iter().chain([&self.stored]);
        seen.any(|a| {
            let others = self.messages.iter().chain([&self.stored]);
            others.into_iter().any(|b| a.version == b.version && a != b)
        })
    }

    /// Whether an operator was told that nothing changed although it did.
    #[must_use]
    pub fn false_refusal(&self) -> bool {
        let refused = |told| matches!(told, Some(Verdict::Conflict | Verdict::Invalid));
        (0..self.operators.len())
            .any(|index| refused(self.operators[index].told) && self.took_effect(index))
    }

    /// Whether an accepted change is missing from the document that is stored.
    #[must_use]
    pub fn lost_change(&self) -> bool {
        (0..self.operators.len()).any(|index| {
            self.operators[index].told == Some(Verdict::Accepted) && !holds(&self.stored, index)
        })
    }

    /// Whether both operators were told that their change was accepted.
    #[must_use]
    pub fn all_accepted(&self) -> bool {
        let mut told = self.operators.iter().map(|operator| operator.told);
        told.all(|told| told == Some(Verdict::Accepted))
    }

    /// Every state that one event leads to.
    #[must_use]
    pub fn next(&self) -> Vec<Self> {
        let mut out = Vec::new();
        for index in 0..self.operators.len() {
            self.operator_steps(index, &mut out);
            self.late_writes(index, &mut out);
        }
        for vm in 0..self.replicas.len() {
            self.vm_steps(vm, &mut out);
        }
        out
    }

    fn operator_steps(&self, index: usize, out: &mut Vec<Self>) {
        match self.operators[index].step.clone() {
            Step::Read => {
                let mut next = self.clone();
                next.operators[index].base = self.stored.version;
                next.feed(index, StoreEvent::Read(self.stored.clone()), out);
                self.lose(index, out);
            }
            Step::Write(document) => self.write(index, &document, out),
            Step::Report {
                verdict, document, ..
            } => self.tell(index, verdict, document, out),
        }
    }

    fn tell(
        &self,
        index: usize,
        verdict: Verdict,
        document: Option<Document>,
        out: &mut Vec<Self>,
    ) {
        if self.operators[index].told.is_some() {
            return;
        }
        let mut next = self.clone();
        next.operators[index].told = Some(verdict);
        if let Some(document) = document.filter(|_| verdict == Verdict::Accepted) {
            next.publish(document);
        }
        out.push(next);
    }

    fn write(&self, index: usize, document: &Document, out: &mut Vec<Self>) {
        let mut applied = self.clone();
        let base = self.operators[index].base;
        let event = applied.apply(index, base, document);
        applied.feed(index, event, out);
        if self.left.lost_answers > 0 {
            let mut lost = applied.clone();
            lost.left.lost_answers -= 1;
            lost.feed(index, StoreEvent::AnswerLost, out);
            let mut late = self.clone();
            late.left.lost_answers -= 1;
            late.operators[index].late.push(document.clone());
            late.feed(index, StoreEvent::AnswerLost, out);
        }
    }

    /// Applies a write in the table service.
    fn apply(&mut self, index: usize, base: u64, document: &Document) -> StoreEvent {
        if self.variant != Variant::BlindWrite && self.stored.version != base {
            return StoreEvent::Conflict;
        }
        self.stored = document.clone();
        self.effective.push(name(index));
        self.effective.sort();
        self.effective.dedup();
        self.publish(document.clone());
        StoreEvent::Written
    }

    fn late_writes(&self, index: usize, out: &mut Vec<Self>) {
        for position in 0..self.operators[index].late.len() {
            let mut next = self.clone();
            let document = next.operators[index].late.remove(position);
            next.apply(index, document.version - 1, &document);
            out.push(next);
        }
    }

    /// Any document that was ever published may arrive at any VM, at any time.
    fn vm_steps(&self, vm: usize, out: &mut Vec<Self>) {
        for document in &self.messages {
            let mut next = self.clone();
            let before = next.replicas[vm].version();
            if self.variant == Variant::AnyVersion {
                next.replicas[vm] = Replica::default();
            }
            next.replicas[vm].adopt(document);
            next.stepped_back |= next.replicas[vm].version() < before;
            out.push(next);
        }
        if self.left.restarts > 0 {
            let mut next = self.clone();
            next.left.restarts -= 1;
            next.replicas[vm] = Replica::default();
            out.push(next);
        }
    }

    fn publish(&mut self, document: Document) {
        if !self.messages.contains(&document) {
            self.messages.push(document);
            self.messages
                .sort_by(|a, b| (a.version, &a.ops).cmp(&(b.version, &b.ops)));
        }
    }

    fn feed(&self, index: usize, event: StoreEvent, out: &mut Vec<Self>) {
        let mut next = self.clone();
        next.operators[index].step = next.operators[index].proposer.handle(event);
        out.push(next);
    }

    fn lose(&self, index: usize, out: &mut Vec<Self>) {
        if self.left.lost_answers > 0 {
            let mut next = self.clone();
            next.left.lost_answers -= 1;
            next.feed(index, StoreEvent::AnswerLost, out);
        }
    }

    fn took_effect(&self, index: usize) -> bool {
        self.effective.contains(&name(index))
    }
}

fn name(index: usize) -> String {
    format!("op{index}")
}

fn holds(document: &Document, index: usize) -> bool {
    let suffix = format!(":{}", name(index));
    document.ops.iter().any(|op| op.ends_with(&suffix))
}
