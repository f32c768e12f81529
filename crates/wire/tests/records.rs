//! Rows survive the codec between VMs.

use wire::{Batch, Record, decode, encode};

fn record(value: Option<&str>) -> Record {
    Record {
        table: "targets".to_owned(),
        key: "a".to_owned(),
        version: 7,
        value: value.map(str::to_owned),
    }
}

/// A deleted row has no value; written by position, it shifted the fields behind it, and
/// VMs that the store refused learned of no deletion.
#[test]
fn deleted_row_is_read_as_it_was_written() -> Result<(), wire::CodecError> {
    let records = vec![record(None), record(Some("eA=="))];

    let read: Vec<Record> = decode(&encode(&records)?)?;

    assert_eq!(read, records);
    Ok(())
}

#[test]
fn batch_is_read_as_it_was_written() -> Result<(), wire::CodecError> {
    let batch = Batch {
        records: vec![record(None)],
        version: 9,
        whole: true,
        well: false,
        settled: true,
    };

    let read: Batch = decode(&encode(&batch)?)?;

    assert_eq!(read.records, batch.records);
    assert_eq!((read.version, read.whole, read.well), (9, true, false));
    Ok(())
}
