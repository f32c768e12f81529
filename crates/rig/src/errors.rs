//! Errors of the test harness.

/// Error while a rig is started or controlled.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// An operation on a file or process failed.
    #[error("{operation}: {source}")]
    Io {
        /// File or program of the operation.
        operation: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The fleet settings are invalid, or a condition did not hold before the timeout.
    #[error("not ready: {0}")]
    NotReady(String),
    /// No response arrived from a URL, or one with an error status or an invalid body.
    #[error("no valid response from {0}")]
    InvalidResponse(String),
}

impl RigError {
    pub(crate) fn io(operation: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let operation = operation.into();
        move |source| Self::Io { operation, source }
    }
}
