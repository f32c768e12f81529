//! A replica of the platform store's rows, ordered by store version.

use {
    std::collections::{BTreeSet, HashSet},
    wire::{Batch, Map, Record},
};

/// Number of tombstones kept, so that peers can learn of deletions.
const MAX_TOMBSTONES: usize = 4096;

/// Rows by table and key. Each is a [`Record`], which holds the version of the row's last
/// change; a deleted row remains as a tombstone, a record without value.
#[derive(Debug, Clone, Default)]
pub struct RecordReplica {
    rows: Map<(String, String), Record>,
    by_version: BTreeSet<(u64, String, String)>,
    /// For each table, the version up to which all changes are known.
    complete_versions: Map<String, u64>,
    /// For each table, the version since which deletions are known too.
    base_versions: Map<String, u64>,
    tombstone_count: usize,
}

impl RecordReplica {
    /// Applies a row if it is newer than the known one, and returns whether it was.
    pub fn apply(&mut self, record: &Record) -> bool {
        let id = (record.table.clone(), record.key.clone());
        if let Some(known) = self.rows.get(&id) {
            if known.version >= record.version {
                return false;
            }
            let old = (known.version, id.0.clone(), id.1.clone());
            self.tombstone_count -= usize::from(known.value.is_none());
            self.by_version.remove(&old);
        }
        self.tombstone_count += usize::from(record.value.is_none());
        let new = (record.version, id.0.clone(), id.1.clone());
        self.by_version.insert(new);
        self.rows.insert(id, record.clone());
        self.prune_tombstones();
        true
    }

    /// Returns tombstones for the known rows that are missing from a full read of a table at
    /// `version`.
    #[must_use]
    pub fn infer_deletions(&self, table: &str, read: &[Record], version: u64) -> Vec<Record> {
        let present: HashSet<&str> = read.iter().map(|r| r.key.as_str()).collect();
        let deleted = self.rows.values().filter(|row| {
            row.table == table
                && row.value.is_some()
                && row.version < version
                && !present.contains(row.key.as_str())
        });
        let tombstone = |row: &Record| Record {
            value: None,
            version,
            ..row.clone()
        };
        deleted.map(tombstone).collect()
    }

    /// Records that all changes of a table up to `version` are known.
    pub fn mark_complete(&mut self, table: &str, version: u64) {
        let known = self.complete_versions.entry(table.to_owned()).or_default();
        *known = version.max(*known);
        self.base_versions
            .entry(table.to_owned())
            .or_insert(version);
    }

    /// Returns the changes for a peer that knows all changes up to `after`.
    ///
    /// A VM that read a table in full does not know of earlier deletions. A peer that is further
    /// behind than that read therefore gets all rows, marked as `whole`. The caller fills in
    /// whether the store is reachable (`well`, `settled`).
    #[must_use]
    pub fn build_batch(&self, after: u64, tables: &[String]) -> Batch {
        let base_versions = tables
            .iter()
            .map(|table| self.base_versions.get(table).copied());
        let base_version = base_versions.collect::<Option<Vec<u64>>>();
        let base_version = base_version.and_then(|versions| versions.into_iter().max());
        let whole = base_version.is_some_and(|base| after < base);
        Batch {
            records: self.changes_since(if whole { 0 } else { after }),
            version: self.min_complete_version(tables),
            whole,
            well: false,
            settled: false,
        }
    }

    /// Returns the version up to which all changes of a table are known, or `None` before the
    /// first full read.
    #[must_use]
    pub fn complete_version(&self, table: &str) -> Option<u64> {
        self.complete_versions.get(table).copied()
    }

    /// Returns the version up to which all changes of all the given tables are known; 0 if one
    /// has not been read yet.
    #[must_use]
    pub fn min_complete_version(&self, tables: &[String]) -> u64 {
        let versions = tables
            .iter()
            .map(|table| self.complete_version(table).unwrap_or(0));
        versions.min().unwrap_or(0)
    }

    /// Returns the version of the newest row; 0 without rows.
    #[must_use]
    pub fn newest_version(&self) -> u64 {
        let last = self.by_version.last();
        last.map_or(0, |(version, _, _)| *version)
    }

    /// Returns the rows that changed after a version, oldest first.
    #[must_use]
    pub fn changes_since(&self, version: u64) -> Vec<Record> {
        let start = (version + 1, String::new(), String::new());
        let changes = self.by_version.range(start..);
        changes
            .filter_map(|(_, table, key)| self.rows.get(&(table.clone(), key.clone())))
            .cloned()
            .collect()
    }

    /// Removes the oldest tombstone if there are too many.
    fn prune_tombstones(&mut self) {
        if self.tombstone_count <= MAX_TOMBSTONES {
            return;
        }
        let is_tombstone = |(_, table, key): &(u64, String, String)| {
            let row = self.rows.get(&(table.clone(), key.clone()));
            row.is_some_and(|row| row.value.is_none())
        };
        let oldest = self.by_version.iter().find(|id| is_tombstone(id)).cloned();
        if let Some(id) = oldest {
            self.by_version.remove(&id);
            self.rows.remove(&(id.1, id.2));
            self.tombstone_count -= 1;
        }
    }
}
