//! Replication of rows in version order, and the batches sent to peers.

use {catalog::RecordReplica, wire::Record};

fn record(key: &str, version: u64, value: Option<&str>) -> Record {
    Record {
        table: "t".to_owned(),
        key: key.to_owned(),
        version,
        value: value.map(str::to_owned),
    }
}

fn tables() -> Vec<String> {
    vec!["t".to_owned()]
}

fn replica_of(rows: &[Record], complete_version: u64) -> RecordReplica {
    let mut replica = RecordReplica::default();
    for row in rows {
        replica.apply(row);
    }
    replica.mark_complete("t", complete_version);
    replica
}

fn keys_and_versions(rows: &[Record]) -> Vec<(&str, u64)> {
    rows.iter().map(|r| (r.key.as_str(), r.version)).collect()
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

    let deletions = replica.infer_deletions("t", &[record("b", 2, Some("x"))], 7);

    assert_eq!(deletions, [record("a", 7, None)]);
}

#[test]
fn row_newer_than_full_read_is_not_inferred_as_deleted() {
    let replica = replica_of(&[record("a", 9, Some("x"))], 9);

    let deletions = replica.infer_deletions("t", &[], 7);

    assert_eq!(deletions, []);
}

/// A VM that read a table after a deletion does not know of that deletion. Without a whole batch
/// a peer that missed it too would consider itself up to date and keep sending requests to a
/// target that has left.
#[test]
fn peer_behind_first_full_read_gets_all_rows() {
    let replica = replica_of(&[record("a", 1, Some("x")), record("b", 8, Some("x"))], 10);

    let batch_for_old_peer = replica.build_batch(5, &tables());
    let batch_for_current_peer = replica.build_batch(10, &tables());

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
    replica.mark_complete("t", 6);

    let batch = replica.build_batch(3, &tables());

    assert!(!batch.whole);
    assert_eq!(batch.version, 6);
    assert_eq!(batch.records, [record("a", 6, None)]);
}

#[test]
fn empty_replica_sends_batch_of_version_zero() {
    let batch = RecordReplica::default().build_batch(0, &tables());

    assert_eq!((batch.version, batch.whole), (0, false));
}
