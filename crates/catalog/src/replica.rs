//! A replica of the platform store's rows, ordered by store revision.

use {
    std::collections::{BTreeSet, HashSet},
    wire::{Batch, Map, Record, Revision},
};

/// Number of tombstones kept, so that peers can learn of deletions.
const MAX_TOMBSTONES: usize = 4096;
/// Number of changes in a batch for a peer, so that one that has to catch up gets them in parts which
/// arrive in time over a slow link. More if further ones are of the same revision.
pub const MAX_BATCH_CHANGES: usize = 128;

/// Rows of one era by table and key. Each is a [`Record`], which holds the revision of the row's
/// last change; a deleted row remains as a tombstone, a record without value.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordReplica {
    era: u64,
    rows: Map<(String, String), Record>,
    by_revision: BTreeSet<(Revision, String, String)>,
    /// For each table that has not been read in this era, the keys that it had before.
    earlier_keys: Map<String, HashSet<String>>,
    /// For each table, the revision up to which all changes are known.
    complete_revisions: Map<String, Revision>,
    /// For each table, the revision since which deletions are known too.
    base_revisions: Map<String, Revision>,
    tombstone_count: usize,
}

impl RecordReplica {
    /// Returns the era of the rows.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Begins an era. No table is complete until it has been read in full; then the rows known
    /// from before that are missing from it have been deleted.
    pub fn begin_era(&mut self, era: u64) {
        for ((table, key), row) in self.rows.drain() {
            if row.value.is_some() {
                self.earlier_keys.entry(table).or_default().insert(key);
            }
        }
        self.era = era;
        self.by_revision.clear();
        self.complete_revisions.clear();
        self.base_revisions.clear();
        self.tombstone_count = 0;
    }

    /// Applies a row of the current era if it is newer than the known one, and returns whether it
    /// was applied. Rows of other eras are not.
    ///
    /// A row that is not known although its table is complete beyond it has been deleted since. A
    /// peer that is behind may still have it.
    pub fn apply(&mut self, record: &Record) -> bool {
        if record.revision.era() != self.era {
            return false;
        }
        let id = (record.table.clone(), record.key.clone());
        let complete = self.table_revision(&record.table);
        let is_covered = complete.is_some_and(|complete| record.revision <= complete);
        if is_covered && !self.rows.contains_key(&id) {
            return false;
        }
        if let Some(known) = self.rows.get(&id) {
            if known.revision >= record.revision {
                return false;
            }
            let old = (known.revision, id.0.clone(), id.1.clone());
            self.tombstone_count -= usize::from(known.value.is_none());
            self.by_revision.remove(&old);
        }
        self.tombstone_count += usize::from(record.value.is_none());
        let new = (record.revision, id.0.clone(), id.1.clone());
        self.by_revision.insert(new);
        self.rows.insert(id, record.clone());
        self.prune_tombstones();
        true
    }

    /// Returns tombstones for the known rows that are missing from a full read of a table at
    /// `revision`, those of earlier eras included.
    #[must_use]
    pub fn infer_deletions(&self, table: &str, read: &[Record], revision: Revision) -> Vec<Record> {
        let present: HashSet<&str> = read
            .iter()
            .filter(|row| row.table == table)
            .map(|row| row.key.as_str())
            .collect();
        let known = self
            .rows
            .values()
            .filter(|row| row.table == table && row.value.is_some() && row.revision < revision);
        let known = known.map(|row| row.key.as_str());
        let earlier = self.earlier_keys.get(table).into_iter().flatten();
        let keys: BTreeSet<&str> = known.chain(earlier.map(String::as_str)).collect();
        let is_unknown_since = |key: &&str| {
            let row = self.rows.get(&(table.to_owned(), (*key).to_owned()));
            row.is_none_or(|row| row.revision < revision)
        };
        let deleted = keys.into_iter().filter(|key| !present.contains(key));
        let tombstone = |key: &str| Record {
            table: table.to_owned(),
            key: key.to_owned(),
            revision,
            value: None,
        };
        deleted.filter(is_unknown_since).map(tombstone).collect()
    }

    /// Records that all changes of a table up to a revision are known. Does nothing if that is of
    /// another era.
    pub fn mark_complete(&mut self, table: &str, revision: Revision) {
        if revision.era() != self.era {
            return;
        }
        self.earlier_keys.remove(table);
        let known = self.complete_revisions.entry(table.to_owned());
        let known = known.or_insert(revision);
        *known = revision.max(*known);
        self.base_revisions
            .entry(table.to_owned())
            .or_insert(revision);
    }

    /// Returns the changes of the given tables for a peer that knows all of them up to `after`.
    ///
    /// A VM that read a table in full does not know of earlier deletions. A peer that is further
    /// behind than that read, or of an older era, therefore gets all rows, marked as `whole`. A
    /// peer of a newer era gets no rows. Of many changes the batch holds the oldest, and its revision is
    /// that of the last one. The caller fills in whether the store is reachable
    /// (`well`, `settled`).
    #[must_use]
    pub fn build_batch(&self, after: Revision, tables: &[String]) -> Batch {
        let base_revisions = tables
            .iter()
            .map(|table| self.base_revisions.get(table).copied());
        let base_revision = base_revisions.collect::<Option<Vec<Revision>>>();
        let base_revision = base_revision.and_then(|revisions| revisions.into_iter().max());
        let whole = base_revision.is_some_and(|base| after < base);
        let mut records = self.changes_since(if whole { Revision::default() } else { after });
        records.retain(|record| tables.contains(&record.table));
        let complete = self.complete_revision(tables).unwrap_or(self.era_start());
        let cut_at = (!whole).then(|| cut_to_batch(&mut records)).flatten();
        Batch {
            records,
            revision: cut_at.map_or(complete, |revision| revision.min(complete)),
            whole,
            well: false,
            settled: false,
        }
    }

    /// Returns the revision up to which all changes of a table are known, or `None` before its
    /// first full read in this era.
    #[must_use]
    pub fn table_revision(&self, table: &str) -> Option<Revision> {
        self.complete_revisions.get(table).copied()
    }

    /// Returns the revision up to which all changes of all the given tables are known, or `None`
    /// if one has not been read in this era.
    #[must_use]
    pub fn complete_revision(&self, tables: &[String]) -> Option<Revision> {
        let revisions = tables.iter().map(|table| self.table_revision(table));
        let revisions = revisions.collect::<Option<Vec<Revision>>>();
        revisions.and_then(|revisions| revisions.into_iter().min())
    }

    /// Returns the revision of the newest row, or the start of the era without rows.
    #[must_use]
    pub fn newest_revision(&self) -> Revision {
        let last = self.by_revision.last();
        last.map_or(self.era_start(), |(revision, _, _)| *revision)
    }

    /// Returns whether nothing has been read or received yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.complete_revisions.is_empty() && self.earlier_keys.is_empty()
    }

    /// Returns the revision before all rows of the era.
    #[must_use]
    pub fn era_start(&self) -> Revision {
        Revision::new(self.era, 0)
    }

    /// Returns the rows that changed after a revision, oldest first.
    #[must_use]
    pub fn changes_since(&self, revision: Revision) -> Vec<Record> {
        let after = (
            std::ops::Bound::Excluded((revision, String::new(), String::new())),
            std::ops::Bound::Unbounded,
        );
        let changes = self.by_revision.range(after);
        let changes = changes.filter(|(changed_at, _, _)| *changed_at > revision);
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
        let is_tombstone = |(_, table, key): &(Revision, String, String)| {
            let row = self.rows.get(&(table.clone(), key.clone()));
            row.is_some_and(|row| row.value.is_none())
        };
        let oldest = self.by_revision.iter().find(|id| is_tombstone(id)).cloned();
        if let Some(id) = oldest {
            self.by_revision.remove(&id);
            self.rows.remove(&(id.1, id.2));
            self.tombstone_count -= 1;
        }
    }
}

/// Removes the changes that do not fit in a batch, from the oldest on. Returns the revision up to
/// which the batch holds them, if some were removed.
fn cut_to_batch(changes: &mut Vec<Record>) -> Option<Revision> {
    let last = changes.get(MAX_BATCH_CHANGES - 1)?.revision;
    let length = changes.partition_point(|change| change.revision <= last);
    if length == changes.len() {
        return None;
    }
    changes.truncate(length);
    Some(last)
}
