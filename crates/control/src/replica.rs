//! The document that this VM has in force.

use wire::Document;

/// Keeps the highest version seen; a lower one never replaces it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    current: Option<Document>,
}

impl Replica {
    /// The document in force, or none before the first was learned.
    #[must_use]
    pub fn current(&self) -> Option<&Document> {
        self.current.as_ref()
    }

    /// Version in force; 0 before the first was learned.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |document| document.version)
    }

    /// Takes a document if it is newer, and says whether it did.
    pub fn adopt(&mut self, document: &Document) -> bool {
        if document.version <= self.version() {
            return false;
        }
        self.current = Some(document.clone());
        true
    }
}
