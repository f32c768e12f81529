//! Errors of the test harness.

/// Error while a rig is started or controlled.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// A file or directory cannot be accessed, or a program cannot be started.
    #[error("cannot access or start {resource}: {source}")]
    Io {
        /// Description of the file or directory, or name of the program.
        resource: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The fleet settings are invalid, or a condition did not hold before the timeout.
    #[error("rig is not ready (invalid fleet settings or timeout): {0}")]
    NotReady(String),
    /// No response arrived from a URL, or one with an error status or an invalid body.
    #[error("no valid response from {url}: {cause}")]
    InvalidResponse {
        /// URL of the request.
        url: String,
        /// What went wrong: no response, its status or its body.
        cause: String,
    },
}

impl RigError {
    pub(crate) fn io(resource: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let resource = resource.into();
        move |source| Self::Io { resource, source }
    }

    pub(crate) fn response(url: &str, cause: &impl ToString) -> Self {
        Self::InvalidResponse {
            url: url.to_owned(),
            cause: cause.to_string(),
        }
    }
}
