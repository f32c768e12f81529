//! The rows of the platform's store as one VM knows them, in the store's order.

use {
    std::collections::{BTreeSet, HashSet},
    wire::{Batch, Map, Record},
};

/// Deleted rows that are kept, so that peers can be told of them.
const MAX_DELETED: usize = 4096;

/// Rows by table and key, each with the version of its last change.
#[derive(Debug, Clone, Default)]
pub struct RecordReplica {
    rows: Map<(String, String), Record>,
    by_version: BTreeSet<(u64, String, String)>,
    /// For each table, the version up to which every change is known.
    complete: Map<String, u64>,
    /// For each table, the version from which on every deletion is known too.
    base: Map<String, u64>,
    deleted: usize,
}

impl RecordReplica {
    /// Takes a row if it is newer than what is known. Returns whether it was.
    pub fn apply(&mut self, record: &Record) -> bool {
        let id = (record.table.clone(), record.key.clone());
        if let Some(known) = self.rows.get(&id) {
            if known.version >= record.version {
                return false;
            }
            let old = (known.version, id.0.clone(), id.1.clone());
            self.deleted -= usize::from(known.value.is_none());
            self.by_version.remove(&old);
        }
        self.deleted += usize::from(record.value.is_none());
        let at = (record.version, id.0.clone(), id.1.clone());
        self.by_version.insert(at);
        self.rows.insert(id, record.clone());
        self.prune_tombstones();
        true
    }

    /// Rows that a complete reading of a table at `version` did not show, as deletions.
    #[must_use]
    pub fn infer_deletions(&self, table: &str, read: &[Record], version: u64) -> Vec<Record> {
        let shown: HashSet<&str> = read.iter().map(|r| r.key.as_str()).collect();
        let known = self.rows.values().filter(|row| {
            row.table == table
                && row.value.is_some()
                && row.version < version
                && !shown.contains(row.key.as_str())
        });
        let deletion = |row: &Record| Record {
            value: None,
            version,
            ..row.clone()
        };
        known.map(deletion).collect()
    }

    /// States that every change of a table up to `version` is known.
    pub fn mark_complete(&mut self, table: &str, version: u64) {
        let known = self.complete.entry(table.to_owned()).or_default();
        *known = version.max(*known);
        self.base.entry(table.to_owned()).or_insert(version);
    }

    /// What another VM, which knows all changes up to a version, has missed.
    ///
    /// A VM that read a table whole never heard of what was deleted before; to one that is
    /// further behind than that it gives all rows. Whether it hears the store is for the
    /// caller to add.
    #[must_use]
    pub fn build_batch(&self, after: u64, tables: &[String]) -> Batch {
        let bases = tables.iter().map(|table| self.base.get(table).copied());
        let base = bases.collect::<Option<Vec<u64>>>();
        let base = base.and_then(|bases| bases.into_iter().max());
        let whole = base.is_some_and(|base| after < base);
        Batch {
            records: self.changes_since(if whole { 0 } else { after }),
            version: self.min_complete_version(tables),
            whole,
            well: false,
            settled: false,
        }
    }

    /// The version up to which every change of a table is known.
    #[must_use]
    pub fn complete_version(&self, table: &str) -> Option<u64> {
        self.complete.get(table).copied()
    }

    /// The version up to which every change of all these tables is known.
    #[must_use]
    pub fn min_complete_version(&self, tables: &[String]) -> u64 {
        let versions = tables
            .iter()
            .map(|table| self.complete_version(table).unwrap_or(0));
        versions.min().unwrap_or(0)
    }

    /// Version of the newest row.
    #[must_use]
    pub fn newest_version(&self) -> u64 {
        let last = self.by_version.last();
        last.map_or(0, |(version, _, _)| *version)
    }

    /// Rows that changed after a version, oldest first.
    #[must_use]
    pub fn changes_since(&self, version: u64) -> Vec<Record> {
        let start = (version + 1, String::new(), String::new());
        let after = self.by_version.range(start..);
        after
            .filter_map(|(_, table, key)| self.rows.get(&(table.clone(), key.clone())))
            .cloned()
            .collect()
    }

    fn prune_tombstones(&mut self) {
        if self.deleted <= MAX_DELETED {
            return;
        }
        let is_deleted = |(_, table, key): &(u64, String, String)| {
            let row = self.rows.get(&(table.clone(), key.clone()));
            row.is_some_and(|row| row.value.is_none())
        };
        let oldest = self.by_version.iter().find(|at| is_deleted(at)).cloned();
        if let Some(at) = oldest {
            self.by_version.remove(&at);
            self.rows.remove(&(at.1, at.2));
            self.deleted -= 1;
        }
    }
}
