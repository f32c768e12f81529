//! Model of operators that change the control document and VMs that apply it.

use {
    control::{Action, Change, Document, Proposer, Replica, StoreEvent},
    wire::Verdict,
};

/// Bounds of the explored state space: the number of VMs and the limit of each fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Number of VMs that apply documents.
    pub vms: usize,
    /// Maximum number of table service responses that are lost, or writes that are delayed.
    pub lost_responses: u8,
    /// Maximum number of VM restarts; a restart loses the VM's document.
    pub restarts: u8,
}

/// Protocol variant: the real one, or one with a safeguard removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Variant {
    /// Protocol of the product.
    Strict,
    /// VMs apply every document that arrives, older versions too.
    ApplyAnyVersion,
    /// Operators treat a lost response as a refusal, without reading the document back.
    NoReadBack,
    /// The table service doesn't compare versions on a write.
    UnconditionalWrite,
}

/// State of one operator and its change.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Operator {
    proposer: Proposer,
    action: Action,
    verdict: Option<Verdict>,
    /// Writes in flight whose responses nobody waits for.
    delayed_writes: Vec<Document>,
    /// Version that the operator last read.
    base_version: u64,
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    variant: Variant,
    remaining: Bounds,
    stored: Document,
    operators: Vec<Operator>,
    replicas: Vec<Replica>,
    /// Documents in flight between VMs; each may arrive at any time and repeatedly.
    published: Vec<Document>,
    version_regressed: bool,
    /// Identifiers of the changes that ever took effect in the table service, sorted.
    applied_changes: Vec<String>,
}

impl State {
    /// Returns the initial state: all VMs apply the first document, and no operator has started
    /// its change. `changes` pairs each change with its operation identifier, which must be
    /// `op0` for the first change, `op1` for the second, and so on.
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
                action: Action::ReadDocument,
                verdict: None,
                delayed_writes: Vec::new(),
                base_version: 0,
            }
        };
        Self {
            variant,
            remaining: bounds,
            operators: changes.iter().map(operator).collect(),
            replicas: vec![replica; bounds.vms],
            published: vec![stored.clone()],
            stored,
            version_regressed: false,
            applied_changes: Vec::new(),
        }
    }

    /// Returns whether a VM has replaced its document by one of a lower version. A restart
    /// doesn't count.
    #[must_use]
    pub fn has_version_regression(&self) -> bool {
        self.version_regressed
    }

    /// Returns whether two documents with the same version differ.
    #[must_use]
    pub fn has_version_conflict(&self) -> bool {
        let mut documents = self.published.iter().chain([&self.stored]);
        documents.any(|a| {
            let others = self.published.iter().chain([&self.stored]);
            others.into_iter().any(|b| a.version == b.version && a != b)
        })
    }

    /// Returns whether an operator received a refusal for a change that took effect.
    #[must_use]
    pub fn has_false_refusal(&self) -> bool {
        let is_refusal = |verdict| matches!(verdict, Some(Verdict::Conflict | Verdict::Invalid));
        (0..self.operators.len())
            .any(|index| is_refusal(self.operators[index].verdict) && self.has_taken_effect(index))
    }

    /// Returns whether the stored document lacks a change that was accepted.
    #[must_use]
    pub fn has_lost_change(&self) -> bool {
        (0..self.operators.len()).any(|index| {
            self.operators[index].verdict == Some(Verdict::Accepted)
                && !contains_change(&self.stored, index)
        })
    }

    /// Returns whether all operators received "accepted" for their changes.
    #[must_use]
    pub fn all_accepted(&self) -> bool {
        let mut verdicts = self.operators.iter().map(|operator| operator.verdict);
        verdicts.all(|verdict| verdict == Some(Verdict::Accepted))
    }

    /// Returns all states that one event can lead to.
    #[must_use]
    pub fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        for index in 0..self.operators.len() {
            self.add_operator_steps(index, &mut successors);
            self.add_delayed_writes(index, &mut successors);
        }
        for vm in 0..self.replicas.len() {
            self.add_vm_steps(vm, &mut successors);
        }
        successors
    }

    /// Adds the results of the operator's current action.
    fn add_operator_steps(&self, index: usize, successors: &mut Vec<Self>) {
        match self.operators[index].action.clone() {
            Action::ReadDocument => {
                let mut state = self.clone();
                state.operators[index].base_version = self.stored.version;
                state.add_event(index, StoreEvent::Read(self.stored.clone()), successors);
                self.add_lost_response(index, successors);
            }
            Action::WriteDocument(document) => self.add_write_results(index, &document, successors),
            Action::ReportVerdict {
                verdict, document, ..
            } => self.add_verdict(index, verdict, document, successors),
        }
    }

    /// Adds the verdict that the operator receives; an accepted document is published.
    fn add_verdict(
        &self,
        index: usize,
        verdict: Verdict,
        document: Option<Document>,
        successors: &mut Vec<Self>,
    ) {
        if self.operators[index].verdict.is_some() {
            return;
        }
        let mut state = self.clone();
        state.operators[index].verdict = Some(verdict);
        if let Some(document) = document.filter(|_| verdict == Verdict::Accepted) {
            state.publish(document);
        }
        successors.push(state);
    }

    /// Adds the results of a write: it is confirmed, its response is lost after it took
    /// effect, or it is delayed.
    fn add_write_results(&self, index: usize, document: &Document, successors: &mut Vec<Self>) {
        let mut applied = self.clone();
        let base_version = self.operators[index].base_version;
        let event = applied.apply_write(index, base_version, document);
        applied.add_event(index, event, successors);
        if self.remaining.lost_responses > 0 {
            let mut lost = applied.clone();
            lost.remaining.lost_responses -= 1;
            lost.add_event(index, StoreEvent::ResponseLost, successors);
            let mut delayed = self.clone();
            delayed.remaining.lost_responses -= 1;
            delayed.operators[index]
                .delayed_writes
                .push(document.clone());
            delayed.add_event(index, StoreEvent::ResponseLost, successors);
        }
    }

    /// Applies a write in the table service and returns the event for the operator.
    fn apply_write(&mut self, index: usize, base_version: u64, document: &Document) -> StoreEvent {
        if self.variant != Variant::UnconditionalWrite && self.stored.version != base_version {
            return StoreEvent::Conflict;
        }
        self.stored = document.clone();
        self.applied_changes.push(operation_id(index));
        self.applied_changes.sort();
        self.applied_changes.dedup();
        self.publish(document.clone());
        StoreEvent::Written
    }

    /// Adds the arrival of each delayed write.
    fn add_delayed_writes(&self, index: usize, successors: &mut Vec<Self>) {
        for position in 0..self.operators[index].delayed_writes.len() {
            let mut state = self.clone();
            let document = state.operators[index].delayed_writes.remove(position);
            state.apply_write(index, document.version - 1, &document);
            successors.push(state);
        }
    }

    /// Adds the steps of a VM: any document that was ever published arrives, or the VM restarts.
    fn add_vm_steps(&self, vm: usize, successors: &mut Vec<Self>) {
        for document in &self.published {
            let mut state = self.clone();
            let version_before = state.replicas[vm].version();
            if self.variant == Variant::ApplyAnyVersion {
                state.replicas[vm] = Replica::default();
            }
            state.replicas[vm].adopt(document);
            state.version_regressed |= state.replicas[vm].version() < version_before;
            successors.push(state);
        }
        if self.remaining.restarts > 0 {
            let mut state = self.clone();
            state.remaining.restarts -= 1;
            state.replicas[vm] = Replica::default();
            successors.push(state);
        }
    }

    /// Makes a document available to all VMs. Documents are sorted so that the order of
    /// publication doesn't distinguish states.
    fn publish(&mut self, document: Document) {
        if !self.published.contains(&document) {
            self.published.push(document);
            self.published
                .sort_by(|a, b| (a.version, &a.ops).cmp(&(b.version, &b.ops)));
        }
    }

    /// Adds the state after the operator's proposer has processed an event.
    fn add_event(&self, index: usize, event: StoreEvent, successors: &mut Vec<Self>) {
        let mut state = self.clone();
        state.operators[index].action = state.operators[index].proposer.handle(event);
        successors.push(state);
    }

    /// Adds the loss of a response, if the bounds allow another one.
    fn add_lost_response(&self, index: usize, successors: &mut Vec<Self>) {
        if self.remaining.lost_responses > 0 {
            let mut state = self.clone();
            state.remaining.lost_responses -= 1;
            state.add_event(index, StoreEvent::ResponseLost, successors);
        }
    }

    fn has_taken_effect(&self, index: usize) -> bool {
        self.applied_changes.contains(&operation_id(index))
    }
}

/// Returns the operation identifier of the operator at `index`.
fn operation_id(index: usize) -> String {
    format!("op{index}")
}

/// Returns whether the document records the operation of the operator at `index`.
fn contains_change(document: &Document, index: usize) -> bool {
    let suffix = format!(":{}", operation_id(index));
    document.ops.iter().any(|op| op.ends_with(&suffix))
}
