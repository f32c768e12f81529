//! Keeps the last encoded batch of each table, which many VMs ask for at the same time.

use {
    bytes::Bytes,
    wire::{Map, Revision},
};

/// What an encoded batch depends on, beside its tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BatchState {
    /// Revision up to which the peer knows all changes.
    pub after: Revision,
    /// Revision of the newest row that this VM has, complete or not.
    pub newest: Revision,
    /// Revision up to which this VM knows all changes of the tables.
    pub complete: Option<Revision>,
    /// Whether this VM watches a store that it reaches.
    pub well: bool,
    /// Whether the targets have had time to renew their rows after an outage.
    pub settled: bool,
    /// Whether the peer takes it compressed.
    pub compressed: bool,
}

/// The last encoded batch by tables.
///
/// The VMs that follow a watcher are mostly in step, so that each change is encoded once and not for
/// each of them.
#[derive(Debug, Clone, Default)]
pub struct BatchCache {
    by_tables: Map<Vec<String>, (BatchState, Bytes)>,
}

impl BatchCache {
    /// Returns the last batch if it was for the same state, or else encodes one.
    ///
    /// # Errors
    /// The error of `encode`.
    pub fn get_or_encode<E>(
        &mut self,
        tables: &[String],
        state: BatchState,
        encode: impl FnOnce() -> Result<Vec<u8>, E>,
    ) -> Result<Bytes, E> {
        if let Some((known, bytes)) = self.by_tables.get(tables)
            && *known == state
        {
            return Ok(bytes.clone());
        }
        let bytes = Bytes::from(encode()?);
        self.by_tables
            .insert(tables.to_vec(), (state, bytes.clone()));
        Ok(bytes)
    }
}
