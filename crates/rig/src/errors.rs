//! Failures of setting a rig up.

/// Why a rig could not be set up or driven.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// A file or process could not be handled.
    #[error("{what}: {source}")]
    Io {
        /// What was tried.
        what: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// A process did not get ready in time.
    #[error("{0} did not get ready")]
    NotReady(String),
    /// An interface did not answer as expected.
    #[error("{0} gave no answer")]
    NoAnswer(String),
}

impl RigError {
    pub(crate) fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |source| Self::Io { what, source }
    }
}
