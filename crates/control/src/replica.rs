//! This VM's copy of the control document.

use wire::Document;

/// Holds the newest version that this VM has seen; an older one never replaces it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    current: Option<Document>,
}

impl Replica {
    /// Returns the document in force, or `None` before the first one is known.
    #[must_use]
    pub fn current(&self) -> Option<&Document> {
        self.current.as_ref()
    }

    /// Returns the version in force, or 0 before the first one is known.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |document| document.version)
    }

    /// Returns the newer of the stored document and the one in force.
    ///
    /// The stored one is older if the table service was restored from an older snapshot. A change must
    /// then be based on the one in force, as VMs apply no version below it.
    #[must_use]
    pub fn newer_of(&self, stored: Document) -> Document {
        match &self.current {
            Some(current) if current.version > stored.version => current.clone(),
            _ => stored,
        }
    }

    /// Replaces the document if `document` is newer. Returns whether it was replaced.
    pub fn adopt(&mut self, document: &Document) -> bool {
        if document.version <= self.version() {
            return false;
        }
        self.current = Some(document.clone());
        true
    }
}
