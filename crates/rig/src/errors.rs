//! Failures of setting a rig up.

/// Why a rig could not be set up or driven.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// A file or process could not be handled.
    #[error("{operation}: {source}")]
    Io {
        /// What was tried.
        operation: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A process did not get ready in time.
    #[error("{0} did not get ready")]
    NotReady(String),
    /// An interface did not answer as expected.
    #[error("{0} gave no answer")]
    InvalidResponse(String),
}

impl RigError {
    pub(crate) fn io(operation: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let operation = operation.into();
        move |source| Self::Io { operation, source }
    }
}
