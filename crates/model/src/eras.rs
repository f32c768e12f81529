//! Model of a store that is restored from an older snapshot, and of VMs that replicate its rows.

use {
    catalog::{EraChange, EraTracker, NamedEra, RecordReplica},
    std::{
        collections::BTreeMap,
        hash::{Hash, Hasher},
    },
    wire::{Batch, Record, Revision},
};

const TABLE: &str = "t";
/// Calls after which a VM that reaches the store must have its rows: a watch, and a full read.
const CALLS_TO_CONVERGE: usize = 2;

/// Bounds of the explored state space: the limit of each event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Maximum number of writes and deletions together.
    pub writes: u8,
    /// Maximum number of snapshots of the store, beside the one that it starts with.
    pub snapshots: u8,
    /// Maximum number of times that the store is restored from its snapshot.
    pub restores: u8,
    /// Maximum number of restarts of VMs; a restart loses all rows.
    pub restarts: u8,
}

/// Protocol variant: the real one, or one with a safeguard removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Variant {
    /// Protocol of the product.
    Strict,
    /// VMs do not look at the era, as before there were any.
    IgnoreEras,
    /// VMs handle the responses to calls that began in an earlier era.
    KeepCalls,
    /// VMs ask peers for the changes since a version, whatever its era.
    PartialBatches,
}

/// The store, with the snapshot from which it may be restored.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Store {
    era: u64,
    version: u64,
    rows: BTreeMap<u8, Record>,
    snapshot: (u64, BTreeMap<u8, Record>),
}

/// What a VM asked of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Call {
    Watch { after: Revision },
    Read { known: Option<Revision> },
}

/// The store's response to a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Response {
    /// The store does not have the changes since the version.
    HistoryTruncated,
    Rows {
        records: Vec<Record>,
        revision: Revision,
    },
}

/// A call and its response, which is on its way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Exchange {
    call: Call,
    response: Response,
}

#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct Vm {
    replica: RecordReplica,
    tracker: EraTracker,
    needs_full_read: bool,
    exchange: Option<Exchange>,
    /// Batch of the other VM that has not arrived yet.
    batch: Option<Batch>,
}

impl Hash for Vm {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.replica.era().hash(state);
        self.replica.table_revision(TABLE).hash(state);
        self.replica.changes_since(Revision::default()).hash(state);
        self.tracker.hash(state);
        self.needs_full_read.hash(state);
        self.exchange.hash(state);
        self.batch.hash(state);
    }
}

/// State of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    variant: Variant,
    remaining: Bounds,
    store: Store,
    vms: [Vm; 2],
}

impl State {
    /// Returns the initial state: a store with one row and a snapshot of it, and two VMs that know
    /// nothing.
    #[must_use]
    pub fn new(variant: Variant, bounds: Bounds) -> Self {
        let mut store = Store::default();
        store.write(0, Some("first".to_owned()));
        store.snapshot = (store.version, store.rows.clone());
        Self {
            variant,
            remaining: bounds,
            store,
            vms: [Vm::default(), Vm::default()],
        }
    }

    /// Returns whether a VM does not get the store's rows although nothing disturbs its next calls
    /// to the store, or its next exchange with the other VM once that has them.
    #[must_use]
    pub fn stays_behind(&self) -> bool {
        let mut direct = self.clone();
        let mut relayed = self.clone();
        for index in 0..2 {
            direct.converge(index);
        }
        relayed.converge(0);
        relayed.vms[1].batch = None;
        relayed.request_batch(1);
        relayed.handle_batch(1);
        direct.has_stale_rows() || relayed.has_stale_rows()
    }

    /// Returns all states that one event can lead to.
    #[must_use]
    pub fn successors(&self) -> Vec<Self> {
        let mut successors = Vec::new();
        self.add_store_steps(&mut successors);
        for index in 0..2 {
            self.add_vm_steps(index, &mut successors);
        }
        successors
    }

    fn add_store_steps(&self, successors: &mut Vec<Self>) {
        if self.remaining.writes > 0 {
            for key in 0..2 {
                let is_present = self.store.rows.get(&key);
                let is_present = is_present.is_some_and(|row| row.value.is_some());
                let value = format!("{}", self.remaining.writes);
                let mut written = self.clone();
                written.remaining.writes -= 1;
                written.store.write(key, Some(value));
                successors.push(written);
                if is_present {
                    let mut deleted = self.clone();
                    deleted.remaining.writes -= 1;
                    deleted.store.write(key, None);
                    successors.push(deleted);
                }
            }
        }
        if self.remaining.snapshots > 0 {
            let mut taken = self.clone();
            taken.remaining.snapshots -= 1;
            taken.store.snapshot = (self.store.version, self.store.rows.clone());
            successors.push(taken);
        }
        if self.remaining.restores > 0 {
            let mut restored = self.clone();
            restored.remaining.restores -= 1;
            restored.store.restore_snapshot();
            successors.push(restored);
        }
    }

    fn add_vm_steps(&self, index: usize, successors: &mut Vec<Self>) {
        let vm = &self.vms[index];
        let mut next = self.clone();
        match &vm.exchange {
            None => next.call_store(index),
            Some(_) => next.handle_response(index),
        }
        successors.push(next);
        // The first VM never asks the other one, which keeps the number of states small.
        if index == 1 {
            let mut next = self.clone();
            match &vm.batch {
                None => next.request_batch(index),
                Some(_) => next.handle_batch(index),
            }
            successors.push(next);
        }
        if vm.exchange.is_some() {
            let mut lost = self.clone();
            lost.vms[index].exchange = None;
            successors.push(lost);
        }
        if self.remaining.restarts > 0 {
            let mut restarted = self.clone();
            restarted.remaining.restarts -= 1;
            restarted.vms[index] = Vm::default();
            successors.push(restarted);
        }
    }

    /// Lets a VM make its next calls without any disturbance.
    fn converge(&mut self, index: usize) {
        self.vms[index].exchange = None;
        for _ in 0..CALLS_TO_CONVERGE {
            self.call_store(index);
            self.handle_response(index);
        }
    }

    fn has_stale_rows(&self) -> bool {
        let values = |rows: Vec<Record>| -> BTreeMap<String, Option<String>> {
            let live = rows.into_iter().filter(|row| row.value.is_some());
            live.map(|row| (row.key, row.value)).collect()
        };
        let stored = values(self.store.rows.values().cloned().collect());
        self.vms
            .iter()
            .any(|vm| values(vm.replica.changes_since(Revision::default())) != stored)
    }

    /// Lets the store respond to a VM's next call; the response arrives later.
    fn call_store(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let known = vm.replica.table_revision(TABLE);
        let call = match known.filter(|_| !vm.needs_full_read) {
            Some(after) => Call::Watch { after },
            None => Call::Read { known },
        };
        let response = self.store.response(&call);
        vm.exchange = Some(Exchange { call, response });
    }

    fn handle_response(&mut self, index: usize) {
        let variant = self.variant;
        let vm = &mut self.vms[index];
        let Some(Exchange { call, response }) = vm.exchange.take() else {
            return;
        };
        match (call, response) {
            (_, Response::HistoryTruncated) => vm.needs_full_read = true,
            (Call::Watch { after }, Response::Rows { records, revision }) => {
                vm.handle_changes(variant, after, &records, revision);
            }
            (Call::Read { known }, Response::Rows { records, revision }) => {
                vm.handle_table(variant, known, &records, revision);
            }
        }
    }

    fn request_batch(&mut self, index: usize) {
        let tables = [TABLE.to_owned()];
        let (replica, peer) = (&self.vms[index].replica, &self.vms[1 - index].replica);
        let after = replica.complete_revision(&tables);
        let mut after = after.unwrap_or(replica.era_start());
        if self.variant == Variant::PartialBatches {
            after = Revision::new(peer.era(), after.version());
        }
        let batch = peer.build_batch(after, &tables);
        self.vms[index].batch = Some(batch);
    }

    fn handle_batch(&mut self, index: usize) {
        let variant = self.variant;
        let vm = &mut self.vms[index];
        if let Some(batch) = vm.batch.take() {
            vm.apply_batch(variant, &batch);
        }
    }
}

impl Store {
    fn write(&mut self, key: u8, value: Option<String>) {
        self.version += 1;
        let row = Record {
            table: TABLE.to_owned(),
            key: key.to_string(),
            revision: Revision::new(self.era, self.version),
            value,
        };
        self.rows.insert(key, row);
    }

    fn restore_snapshot(&mut self) {
        self.era += 1;
        (self.version, self.rows) = self.snapshot.clone();
        for row in self.rows.values_mut() {
            row.revision = Revision::new(self.era, row.revision.version());
        }
    }

    fn response(&self, call: &Call) -> Response {
        let is_reported = |row: &&Record| match call {
            Call::Watch { after } => row.revision.version() > after.version(),
            Call::Read { .. } => row.value.is_some(),
        };
        match call {
            Call::Watch { after } if after.version() > self.version => Response::HistoryTruncated,
            _ => Response::Rows {
                records: self.rows.values().filter(is_reported).cloned().collect(),
                revision: Revision::new(self.era, self.version),
            },
        }
    }
}

impl Vm {
    /// Handles the response to a watch, as `gateway::Node::accept_changes` and its caller do.
    fn handle_changes(
        &mut self,
        variant: Variant,
        after: Revision,
        records: &[Record],
        revision: Revision,
    ) {
        let named = NamedEra::Number(revision.era());
        if variant != Variant::IgnoreEras && !self.tracker.is_continued(named, revision, after) {
            self.needs_full_read = true;
            return;
        }
        let era = self.replica.era();
        for record in records {
            self.replica.apply(&in_era(record, era));
        }
        let revision = Revision::new(era, revision.version());
        self.replica.mark_complete(TABLE, revision);
    }

    /// Handles a full read, as `gateway::Node::accept_table` and its caller do.
    fn handle_table(
        &mut self,
        variant: Variant,
        known: Option<Revision>,
        records: &[Record],
        revision: Revision,
    ) {
        let named = NamedEra::Number(revision.era());
        let change = match variant {
            Variant::IgnoreEras => EraChange::None,
            _ => self
                .tracker
                .follow(named, revision.version(), self.replica.era(), known),
        };
        if let EraChange::Begun(era) | EraChange::Assumed(era) = change {
            self.begin_era(variant, era);
        }
        let era = self.replica.era();
        let records: Vec<Record> = records.iter().map(|row| in_era(row, era)).collect();
        self.apply_whole(&records, Revision::new(era, revision.version()));
        self.needs_full_read = false;
    }

    /// Applies a batch, as `gateway::store::pull` does.
    fn apply_batch(&mut self, variant: Variant, batch: &Batch) {
        let (era, known) = (batch.revision.era(), self.replica.era());
        let is_taken = era == known || batch.whole || variant == Variant::PartialBatches;
        if batch.revision.version() == 0 || era < known || !is_taken {
            return;
        }
        if era > known {
            self.tracker.forget();
            self.begin_era(variant, era);
        }
        if batch.whole {
            self.apply_whole(&batch.records, batch.revision);
            return;
        }
        for record in &batch.records {
            self.replica.apply(record);
        }
        self.replica.mark_complete(TABLE, batch.revision);
    }

    fn apply_whole(&mut self, records: &[Record], revision: Revision) {
        let deletions = self.replica.infer_deletions(TABLE, records, revision);
        for record in records.iter().chain(&deletions) {
            self.replica.apply(record);
        }
        self.replica.mark_complete(TABLE, revision);
    }

    fn begin_era(&mut self, variant: Variant, era: u64) {
        self.replica.begin_era(era);
        if variant != Variant::KeepCalls {
            self.exchange = None;
        }
    }
}

fn in_era(record: &Record, era: u64) -> Record {
    Record {
        revision: Revision::new(era, record.revision.version()),
        ..record.clone()
    }
}
