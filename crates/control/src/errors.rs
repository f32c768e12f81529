//! Reasons for rejecting a change of the control document.

/// Why a change cannot be applied to a document.
#[derive(Debug, Clone, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Rejection {
    /// The preset was switched after the version that the operator had seen.
    #[error("preset {current_preset:?} was put in force at version {version}")]
    Superseded {
        /// Preset in force.
        current_preset: String,
        /// Version of the document in force.
        version: u64,
    },
}
