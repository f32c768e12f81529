//! Failures of the command line.

/// Why a command was not carried out.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// No VM was named.
    #[error("name a VM: --vm IP:PORT, or set CICADALIFT_VM")]
    MissingVm,
    /// No credential was named.
    #[error("name the credential's file: --token-file FILE, or set CICADALIFT_TOKEN_FILE")]
    MissingTokenFile,
    /// The credential's file could not be read.
    #[error("{path}: {source}")]
    TokenFile {
        /// The file.
        path: String,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The VM did not answer.
    #[error("{vm} does not answer ({reason}); try another VM")]
    RequestFailed {
        /// The VM.
        vm: String,
        /// What went wrong.
        reason: String,
    },
    /// The VM refused the credential.
    #[error("{vm} refused the credential; it must be the operator_token of the VM's settings")]
    Unauthorized {
        /// The VM.
        vm: String,
    },
}
