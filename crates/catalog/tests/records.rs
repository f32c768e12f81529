//! Replication of rows in version order, and the batches sent to peers.

use {
    catalog::RecordReplica,
    proptest::{collection::vec, prelude::*},
    std::collections::BTreeMap,
    wire::{Batch, Record, Revision},
};

fn record(key: &str, version: u64, value: Option<&str>) -> Record {
    Record {
        table: "t".to_owned(),
        key: key.to_owned(),
        revision: Revision::new(0, version),
        value: value.map(str::to_owned),
    }
}

fn record_of_era(era: u64, key: &str, version: u64, value: Option<&str>) -> Record {
    Record {
        revision: Revision::new(era, version),
        ..record(key, version, value)
    }
}

fn at(version: u64) -> Revision {
    Revision::new(0, version)
}

fn tables() -> Vec<String> {
    vec!["t".to_owned()]
}

fn replica_of(rows: &[Record], complete_version: u64) -> RecordReplica {
    let mut replica = RecordReplica::default();
    for row in rows {
        replica.apply(row);
    }
    replica.mark_complete("t", at(complete_version));
    replica
}

fn keys_and_versions(rows: &[Record]) -> Vec<(&str, u64)> {
    rows.iter()
        .map(|r| (r.key.as_str(), r.revision.version()))
        .collect()
}

#[test]
fn row_of_older_or_equal_version_is_not_applied() {
    let mut replica = replica_of(&[record("a", 5, Some("x"))], 5);

    assert!(!replica.apply(&record("a", 4, None)));
    assert!(!replica.apply(&record("a", 5, None)));
    assert!(replica.apply(&record("a", 6, None)));
}

#[test]
fn row_missing_from_full_read_is_inferred_as_deleted() {
    let replica = replica_of(&[record("a", 1, Some("x")), record("b", 2, Some("x"))], 2);

    let deletions = replica.infer_deletions("t", &[record("b", 2, Some("x"))], at(7));

    assert_eq!(deletions, [record("a", 7, None)]);
}

#[test]
fn row_newer_than_full_read_is_not_inferred_as_deleted() {
    let replica = replica_of(&[record("a", 9, Some("x"))], 9);

    let deletions = replica.infer_deletions("t", &[], at(7));

    assert_eq!(deletions, []);
}

/// A VM that read a table after a deletion does not know of that deletion. Without a whole batch
/// a peer that missed it too would consider itself up to date and keep sending requests to a
/// target that has left.
#[test]
fn peer_behind_first_full_read_gets_all_rows() {
    let replica = replica_of(&[record("a", 1, Some("x")), record("b", 8, Some("x"))], 10);

    let batch_for_old_peer = replica.build_batch(at(5), &tables());
    let batch_for_current_peer = replica.build_batch(at(10), &tables());

    assert!(batch_for_old_peer.whole);
    assert_eq!(
        keys_and_versions(&batch_for_old_peer.records),
        [("a", 1), ("b", 8)]
    );
    assert!(!batch_for_current_peer.whole);
    assert_eq!(keys_and_versions(&batch_for_current_peer.records), []);
}

#[test]
fn peer_after_first_full_read_gets_only_changes() {
    let mut replica = replica_of(&[record("a", 1, Some("x"))], 2);
    replica.apply(&record("a", 6, None));
    replica.mark_complete("t", at(6));

    let batch = replica.build_batch(at(3), &tables());

    assert!(!batch.whole);
    assert_eq!(batch.revision, at(6));
    assert_eq!(batch.records, [record("a", 6, None)]);
}

#[test]
fn empty_replica_sends_batch_of_version_zero() {
    let batch = RecordReplica::default().build_batch(at(0), &tables());

    assert_eq!((batch.revision, batch.whole), (at(0), false));
}

/// Guards against requests to a target that left before this VM read its table, because a peer that
/// is behind still has its row.
#[test]
fn row_deleted_before_the_first_full_read_is_not_taken_from_a_peer_that_is_behind() {
    let mut replica = replica_of(&[record("b", 2, Some("x"))], 5);

    assert!(!replica.apply(&record("a", 1, Some("x"))));
    assert!(replica.apply(&record("a", 6, Some("x"))));
}

/// Guards against a row that is taken for an old one, because the store gave its version out
/// before it was restored from an older snapshot.
#[test]
fn row_of_a_new_era_is_applied_whatever_its_version() {
    let mut replica = replica_of(&[record("a", 140, Some("x"))], 140);

    replica.begin_era(1);

    assert!(replica.apply(&record_of_era(1, "a", 101, Some("y"))));
    assert_eq!(replica.newest_revision(), Revision::new(1, 101));
}

/// Guards against a late answer, or a peer that lags, that brings rows of the lost history.
#[test]
fn row_of_an_older_era_is_not_applied() {
    let mut replica = replica_of(&[], 0);

    replica.begin_era(1);

    assert!(!replica.apply(&record("a", 140, Some("x"))));
    assert!(!replica.apply(&record("b", 141, None)));
}

/// Guards against a VM that goes on from a version of the lost history.
#[test]
fn no_table_is_complete_at_the_start_of_an_era() {
    let mut replica = replica_of(&[record("a", 140, Some("x"))], 140);

    replica.begin_era(1);
    replica.mark_complete("t", at(141));

    assert_eq!(replica.table_revision("t"), None);
    assert_eq!(replica.complete_revision(&tables()), None);
}

/// Guards against a target that is kept for ever, because the snapshot does not have it.
#[test]
fn row_of_an_older_era_that_is_missing_from_the_full_read_is_inferred_as_deleted() {
    let mut replica = replica_of(
        &[record("a", 140, Some("x")), record("b", 139, Some("x"))],
        140,
    );
    replica.begin_era(1);
    replica.begin_era(2);
    let read = [record_of_era(2, "b", 90, Some("x"))];

    let deletions = replica.infer_deletions("t", &read, Revision::new(2, 100));
    replica.mark_complete("t", Revision::new(2, 100));
    let deletions_after = replica.infer_deletions("t", &read, Revision::new(2, 100));

    assert_eq!(deletions, [record_of_era(2, "a", 100, None)]);
    assert_eq!(deletions_after, []);
}

/// Guards against a peer of an older era that is told only of the changes after its version.
#[test]
fn peer_of_an_older_era_gets_all_rows_and_one_of_a_newer_none() {
    let mut replica = RecordReplica::default();
    replica.begin_era(1);
    replica.apply(&record_of_era(1, "a", 3, Some("x")));
    replica.mark_complete("t", Revision::new(1, 5));

    let for_older = replica.build_batch(at(140), &tables());
    let for_newer = replica.build_batch(Revision::new(2, 1), &tables());

    assert!(for_older.whole);
    assert_eq!(for_older.records.len(), 1);
    assert!(!for_newer.whole);
    assert_eq!(for_newer.records, []);
}

/// Guards against a row of one table that hides the deletion of a row with its key in another.
#[test]
fn row_of_another_table_does_not_hide_a_deletion() {
    let replica = replica_of(&[record("a", 1, Some("x"))], 2);
    let other = Record {
        table: "u".to_owned(),
        ..record("a", 3, Some("x"))
    };

    let deletions = replica.infer_deletions("t", &[other], at(7));

    assert_eq!(deletions, [record("a", 7, None)]);
}

/// A store whose history forks: it may be restored to any of its earlier states.
#[derive(Debug, Clone, Default)]
struct ForkingStore {
    era: u64,
    version: u64,
    rows: BTreeMap<String, Record>,
    snapshots: Vec<(u64, BTreeMap<String, Record>)>,
}

/// What happens to the store or to a VM that follows it.
#[derive(Debug, Clone, Copy)]
enum Step {
    Write(u8),
    Delete(u8),
    /// Is restored from the snapshot of this index, counted from the newest.
    Restore(usize),
    /// The first VM reads the store in full.
    Read,
    /// The first VM reads the changes.
    Watch,
    /// The second VM asks the first one for rows.
    Pull,
    /// The second VM gets an old batch of the first one again.
    Redeliver(usize),
}

impl ForkingStore {
    fn write(&mut self, key: u8, value: Option<&str>) {
        self.snapshots.push((self.version, self.rows.clone()));
        self.version += 1;
        let row = record_of_era(self.era, &key.to_string(), self.version, value);
        self.rows.insert(row.key.clone(), row);
    }

    fn restore_from(&mut self, index: usize) {
        let Some(snapshot) = self.snapshots.iter().rev().nth(index).cloned() else {
            return;
        };
        self.era += 1;
        (self.version, self.rows) = snapshot;
        for row in self.rows.values_mut() {
            row.revision = Revision::new(self.era, row.revision.version());
        }
    }

    fn revision(&self) -> Revision {
        Revision::new(self.era, self.version)
    }

    fn live_rows(&self) -> Vec<Record> {
        let live = self.rows.values().filter(|row| row.value.is_some());
        live.cloned().collect()
    }

    /// Lets a VM read the table in full, as after its start or a return.
    fn read_into(&self, vm: &mut RecordReplica) {
        if self.era > vm.era() {
            vm.begin_era(self.era);
        }
        let rows = self.live_rows();
        let deletions = vm.infer_deletions("t", &rows, self.revision());
        for row in rows.iter().chain(&deletions) {
            vm.apply(row);
        }
        vm.mark_complete("t", self.revision());
    }

    /// Lets a VM read the changes, or everything if it knows another era.
    fn watch_into(&self, vm: &mut RecordReplica) {
        let Some(after) = vm.table_revision("t").filter(|_| vm.era() == self.era) else {
            return self.read_into(vm);
        };
        for row in self.rows.values().filter(|row| row.revision > after) {
            vm.apply(row);
        }
        vm.mark_complete("t", self.revision());
    }
}

fn apply_batch(vm: &mut RecordReplica, batch: &Batch) {
    let era = batch.revision.era();
    let is_newer = era > vm.era();
    if batch.revision.version() == 0 || era < vm.era() || (is_newer && !batch.whole) {
        return;
    }
    if is_newer {
        vm.begin_era(era);
    }
    let deletions = if batch.whole {
        vm.infer_deletions("t", &batch.records, batch.revision)
    } else {
        Vec::new()
    };
    for row in batch.records.iter().chain(&deletions) {
        vm.apply(row);
    }
    vm.mark_complete("t", batch.revision);
}

fn live_rows(vm: &RecordReplica) -> Vec<Record> {
    let mut rows = vm.changes_since(Revision::default());
    rows.retain(|row| row.value.is_some());
    rows.sort_by(|a, b| a.key.cmp(&b.key));
    rows
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_u8).prop_map(Step::Write),
        2 => (0..4_u8).prop_map(Step::Delete),
        2 => (0..6_usize).prop_map(Step::Restore),
        1 => Just(Step::Read),
        3 => Just(Step::Watch),
        3 => Just(Step::Pull),
        2 => (0..4_usize).prop_map(Step::Redeliver),
    ]
}

proptest! {
    /// Guards against rows that depend on the order in which histories that fork are delivered.
    #[test]
    fn vms_agree_with_the_store_after_any_forks_and_deliveries(steps in vec(step(), 1..60)) {
        let mut store = ForkingStore::default();
        let (mut first, mut second) = (RecordReplica::default(), RecordReplica::default());
        let mut batches = Vec::new();

        for step in steps {
            match step {
                Step::Write(key) => store.write(key, Some("x")),
                Step::Delete(key) => store.write(key, None),
                Step::Restore(index) => store.restore_from(index),
                Step::Read => store.read_into(&mut first),
                Step::Watch => store.watch_into(&mut first),
                Step::Pull => {
                    let after = second.complete_revision(&tables());
                    let after = after.unwrap_or(second.era_start());
                    let batch = first.build_batch(after, &tables());
                    apply_batch(&mut second, &batch);
                    batches.push(batch);
                }
                Step::Redeliver(index) => {
                    if let Some(batch) = batches.iter().rev().nth(index) {
                        apply_batch(&mut second, batch);
                    }
                }
            }
        }
        store.write(0, Some("last"));
        store.watch_into(&mut first);
        let after = second.complete_revision(&tables()).unwrap_or(second.era_start());
        apply_batch(&mut second, &first.build_batch(after, &tables()));

        prop_assert_eq!(live_rows(&first), store.live_rows());
        prop_assert_eq!(live_rows(&second), store.live_rows());
    }
}

/// Guards against VMs that start together and all wait for one large batch over the slow link of the
/// VM that has the rows, until their calls time out.
#[test]
fn peer_that_is_far_behind_catches_up_in_parts() {
    let rows: Vec<Record> = (0..300)
        .map(|number| record(&format!("k{number:03}"), 2 + number / 2, Some("x")))
        .collect();
    let mut source = RecordReplica::default();
    source.mark_complete("t", at(1));
    for row in &rows {
        source.apply(row);
    }
    source.mark_complete("t", at(200));
    let mut peer = replica_of(&[], 1);

    let mut sizes = Vec::new();
    while peer.table_revision("t") < Some(at(200)) && sizes.len() < 10 {
        let after = peer.table_revision("t").unwrap_or_default();
        let batch = source.build_batch(after, &tables());
        for row in &batch.records {
            peer.apply(row);
        }
        peer.mark_complete("t", batch.revision);
        sizes.push(batch.records.len());
    }

    assert_eq!(sizes, [128, 128, 44]);
    assert_eq!(peer.changes_since(at(0)), source.changes_since(at(0)));
}
