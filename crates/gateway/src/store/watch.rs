//! Follows the tables of the store and puts their changes into effect.

use {
    super::source::watches_store,
    crate::{Change, Node, StoreError, VersionedRows},
    std::{rc::Rc, time::Duration},
    wire::Record,
};

/// Longest wait for a change in one call; it bounds how long a store that says nothing at
/// all is trusted.
const WAIT: Duration = Duration::from_millis(2500);
/// Changes of this span come in one call.
const GATHER: Duration = Duration::from_millis(120);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_millis(600);
/// Pause between two looks at whether this VM is to follow the store.
const STAND_BY: Duration = Duration::from_millis(50);

/// Follows a table until the process ends, whenever it falls to this VM.
pub(crate) async fn watch_table(node: Rc<Node>, table: String) {
    let mut pause = FIRST_PAUSE;
    let mut read_anew = false;
    loop {
        if !watches_store(&node) {
            tokio::time::sleep(STAND_BY).await;
            continue;
        }
        let known = node.replica().complete_version(&table).is_some();
        let result = if read_anew || !known {
            read(&node, &table).await
        } else {
            next(&node, &table).await
        };
        match result {
            Ok(()) => {
                node.record_store_success(&table);
                pause = FIRST_PAUSE;
                read_anew = false;
            }
            Err(StoreError::HistoryTruncated) => {
                log::warn!(event = "history_lost", table = table.as_str(); "reading the table anew");
                read_anew = true;
            }
            Err(error) => {
                node.record_store_failure(&table, &error);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Reads the whole table; rows that it does not show were deleted in the meantime.
async fn read(node: &Rc<Node>, table: &str) -> Result<(), StoreError> {
    let page = (node.store.read_table)(table.to_owned()).await?;
    let missing = node
        .replica()
        .infer_deletions(table, &page.records, page.version);
    let lapsed = !node.is_store_settled();
    apply(node, &page.records, lapsed);
    apply(node, &missing, lapsed);
    node.mark_table_complete(table, page.version);
    Ok(())
}

async fn next(node: &Rc<Node>, table: &str) -> Result<(), StoreError> {
    let after = node.replica().complete_version(table).unwrap_or(0);
    let page: VersionedRows = (node.store.watch_table)(table.to_owned(), after, WAIT).await?;
    apply(node, &page.records, !node.is_store_settled());
    node.mark_table_complete(table, page.version);
    if !page.records.is_empty() {
        tokio::time::sleep(GATHER).await;
    }
    Ok(())
}

/// Puts rows into effect that are newer than what is known, whoever brought them.
///
/// `lapsed` says that deletions may be followed by new entries of targets that could not
/// renew them while the store was away.
pub(crate) fn apply(node: &Rc<Node>, records: &[Record], lapsed: bool) {
    let mut changed = false;
    for record in records {
        let is_news = node.replica().apply(record);
        if is_news {
            put(node, record, lapsed);
            changed = true;
        }
    }
    if changed {
        node.refresh_derived_state();
    }
}

fn put(node: &Rc<Node>, record: &Record, lapsed: bool) {
    let version = record.version;
    let now = node.now();
    match (node.store.decode_record)(record) {
        Change::Routes(document) => node.apply_routes(document, version),
        Change::Target(target) => node.apply_target(target, version, now),
        Change::TargetDeleted(id) => node.remove_target(&id, version, "deleted", lapsed),
        Change::TargetInvalid { id, reason } => {
            node.remove_target(&id, version, &reason, false);
        }
        Change::Evacuation { zone, active } => node.apply_evacuation(&zone, active, version, now),
        Change::Ignored { reason } => {
            log::warn!(event = "row_unused", table = record.table.as_str(), key = record.key.as_str(), version = version, reason = reason.as_str(); "row not used");
        }
    }
}
