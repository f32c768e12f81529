//! Rows in the store's order, and what one VM gives another.

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

fn known(rows: &[Record], complete: u64) -> RecordReplica {
    let mut records = RecordReplica::default();
    for row in rows {
        records.apply(row);
    }
    records.mark_complete("t", complete);
    records
}

fn keys(rows: &[Record]) -> Vec<(&str, u64)> {
    rows.iter().map(|r| (r.key.as_str(), r.version)).collect()
}

#[test]
fn older_row_is_not_taken() {
    let mut records = known(&[record("a", 5, Some("x"))], 5);

    assert!(!records.apply(&record("a", 4, None)));
    assert!(!records.apply(&record("a", 5, None)));
    assert!(records.apply(&record("a", 6, None)));
}

#[test]
fn rows_that_a_reading_does_not_show_were_deleted() {
    let records = known(&[record("a", 1, Some("x")), record("b", 2, Some("x"))], 2);

    let missing = records.infer_deletions("t", &[record("b", 2, Some("x"))], 7);

    assert_eq!(missing, [record("a", 7, None)]);
}

#[test]
fn row_that_is_newer_than_a_reading_is_not_missing() {
    let records = known(&[record("a", 9, Some("x"))], 9);

    let missing = records.infer_deletions("t", &[], 7);

    assert_eq!(missing, []);
}

/// A VM that read the table after a deletion gave its rows to one that had not heard of
/// it; that one took them for complete and went on sending to a target that had left.
#[test]
fn vm_that_is_behind_a_first_reading_gets_all_rows() {
    let records = known(&[record("a", 1, Some("x")), record("b", 8, Some("x"))], 10);

    let behind = records.build_batch(5, &tables());
    let close = records.build_batch(10, &tables());

    assert!(behind.whole);
    assert_eq!(keys(&behind.records), [("a", 1), ("b", 8)]);
    assert!(!close.whole);
    assert_eq!(keys(&close.records), []);
}

#[test]
fn vm_that_followed_gives_only_what_changed() {
    let mut records = known(&[record("a", 1, Some("x"))], 2);
    records.apply(&record("a", 6, None));
    records.mark_complete("t", 6);

    let batch = records.build_batch(3, &tables());

    assert!(!batch.whole);
    assert_eq!(batch.version, 6);
    assert_eq!(batch.records, [record("a", 6, None)]);
}

#[test]
fn vm_that_knows_nothing_yet_claims_nothing() {
    let batch = RecordReplica::default().build_batch(0, &tables());

    assert_eq!((batch.version, batch.whole), (0, false));
}
