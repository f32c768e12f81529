//! Watches the tables of the store and applies their changes to the node.

use {
    super::{port::TableWatch, source::watches_store},
    crate::{Change, Clock, Node, StoreError},
    catalog::WatchTimeouts,
    std::{rc::Rc, time::Duration},
    wire::Record,
};

/// Delay after the first failed call; doubled after each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);
/// Interval between checks while another VM watches the store for this one.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Name of the store in logs, beside those of VMs from which rows may come too.
const STORE_NAME: &str = "store";

/// Reads a table in full, then watches it until the process ends, whenever this VM is one of those
/// that watch the store. The table is read again if the store does not have its changes since the
/// known revision, or is restored from an older snapshot.
pub(crate) async fn watch_table(node: Rc<Node>, table: String) {
    let mut timeouts = WatchTimeouts::new(node.bounds().update_time());
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut needs_full_read = false;
    let mut is_new = true;
    loop {
        is_new &= node.replica().table_revision(&table).is_none();
        if !is_new && !watches_store(&node) {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        let reads_in_full = needs_full_read || node.replica().table_revision(&table).is_none();
        let mut eras = node.subscribe_eras();
        timeouts.set_change_time(node.bounds().update_time());
        let called_at = node.now();
        let call = async {
            if reads_in_full {
                read_table(&node, &table).await
            } else {
                await_changes(&node, &table, &timeouts).await
            }
        };
        let result = tokio::select! {
            biased;
            result = call => result,
            // The call began in an earlier era, so its result would say nothing of this one.
            _ = eras.changed() => continue,
        };
        match result {
            Ok(()) => {
                node.record_store_success(&table);
                needs_full_read = false;
                if !reads_in_full {
                    timeouts.record_success(node.now().saturating_sub(called_at));
                    retry_delay = MIN_RETRY_DELAY;
                }
            }
            Err(StoreError::HistoryTruncated) => {
                log::warn!(event = "history_lost", table = table.as_str(); "store does not have the changes since the known version; reading the whole table");
                // Not at once if the previous full read did not help.
                if needs_full_read || retry_delay > MIN_RETRY_DELAY {
                    tokio::time::sleep(retry_delay).await;
                }
                needs_full_read = true;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
            Err(error) => {
                node.record_store_failure(&table, &error);
                timeouts.record_failure();
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

/// Reads a whole table and applies it. Known rows that are missing from it have been deleted.
async fn read_table(node: &Rc<Node>, table: &str) -> Result<(), StoreError> {
    let known = node.replica().table_revision(table);
    let asked_at = Clock::boot_time();
    let read = (node.store.read_table)(table.to_owned()).await?;
    let read = node.accept_table(read, known);
    let deletions = node
        .replica()
        .infer_deletions(table, &read.records, read.revision);
    let after_outage = !node.is_store_settled();
    let changed = apply_records(node, &read.records, after_outage, STORE_NAME);
    apply_records(node, &deletions, after_outage, STORE_NAME);
    node.mark_table_complete(table, read.revision);
    node.record_store_time(table, read.revision, read.store_time, asked_at);
    let known = known.map_or_else(|| "nothing".to_owned(), |known| known.to_string());
    log::info!(event = "table_read", table = table, version:% = read.revision, known = known.as_str(), rows = read.records.len(), changed = changed, deleted = deletions.len(), held = after_outage; "whole table read from the store; deletions wait for a while if held");
    metrics::counter!("cicadalift_table_reads_total", "table" => table.to_owned()).increment(1);
    Ok(())
}

/// Waits for the next changes of a table and applies them.
async fn await_changes(
    node: &Rc<Node>,
    table: &str,
    timeouts: &WatchTimeouts,
) -> Result<(), StoreError> {
    let after = node.replica().table_revision(table);
    let after = after.ok_or(StoreError::HistoryTruncated)?;
    let watch = TableWatch {
        table: table.to_owned(),
        after,
        wait: timeouts.wait(),
        timeout: timeouts.timeout(),
    };
    let asked_at = Clock::boot_time();
    let changes = (node.store.watch_table)(watch).await?;
    let changes = node.accept_changes(changes, after);
    let changes = changes.ok_or(StoreError::HistoryTruncated)?;
    let after_outage = !node.is_store_settled();
    apply_records(node, &changes.records, after_outage, STORE_NAME);
    node.mark_table_complete(table, changes.revision);
    node.record_store_time(table, changes.revision, changes.store_time, asked_at);
    if !changes.records.is_empty() {
        tokio::time::sleep(timeouts.batch_delay()).await;
    }
    Ok(())
}

/// Applies the rows that are newer than the known ones. Returns their number. `origin` names the
/// store, or the VM that delivered them.
///
/// With `after_outage`, a deletion may only mean that a target could not renew its row while the
/// store was unreachable.
pub(crate) fn apply_records(
    node: &Rc<Node>,
    records: &[Record],
    after_outage: bool,
    origin: &str,
) -> usize {
    let mut changed = 0;
    for record in records {
        let is_newer = node.replica().apply(record);
        if is_newer {
            apply_change(node, record, after_outage, origin);
            changed += 1;
        }
    }
    if changed > 0 {
        node.refresh_derived_state();
    }
    changed
}

fn apply_change(node: &Rc<Node>, record: &Record, after_outage: bool, origin: &str) {
    let revision = record.revision;
    let now = node.now();
    match (node.store.decode_record)(record) {
        Change::Routes(configuration) => {
            node.apply_configuration(configuration, revision, origin);
        }
        Change::Target(target) => node.apply_target(target, revision, now),
        Change::TargetDeleted(id) => node.remove_target(&id, revision, "deleted", after_outage),
        Change::TargetInvalid { id, reason } => {
            // A row of another era may be from before the target's newest one.
            let is_other_era = node.catalog.borrow().is_of_other_era(&id, revision.era());
            node.remove_target(&id, revision, &reason, after_outage && is_other_era);
        }
        Change::Evacuation { zone, active } => node.apply_evacuation(&zone, active, revision, now),
        Change::Ignored { reason } => {
            log::warn!(event = "row_unused", table = record.table.as_str(), key = record.key.as_str(), row:% = revision, reason = reason.as_str(); "row ignored");
        }
    }
}
