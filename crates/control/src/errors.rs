//! Why a change is not taken.

/// Why a change cannot be made on top of a document.
#[derive(Debug, Clone, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// Another operator switched the preset since this operator looked.
    #[error("preset {winner:?} was put in force at version {version}")]
    Superseded {
        /// Preset that is in force.
        winner: String,
        /// Version of the document that put it in force.
        version: u64,
    },
}
