//! Why a change is not taken.

/// Why a change cannot be made on top of a document.
#[derive(Debug, Clone, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// Another operator switched the preset since this operator looked.
    #[error("preset {current_preset:?} was put in force at version {version}")]
    Superseded {
        /// Preset that is in force.
        current_preset: String,
        /// Version of the document that put it in force.
        version: u64,
    },
}
