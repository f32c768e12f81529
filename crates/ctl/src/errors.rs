//! Errors of commands that contact a VM.

/// Why a command got no result from a VM.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// Neither the flag nor the environment variable names a VM.
    #[error("no VM address given: use --vm IP:PORT or set CICADALIFT_VM")]
    MissingVm,
    /// Neither the flag nor the environment variable names a token file.
    #[error("no token file given: use --token-file FILE or set CICADALIFT_TOKEN_FILE")]
    MissingTokenFile,
    /// The token file could not be read.
    #[error("cannot read the token file {path}: {source}")]
    TokenFile {
        /// Path of the token file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The VM could not be reached, or its response could not be read or decoded. It may have
    /// accepted a proposed change nevertheless.
    #[error("request to {vm} failed: {reason}; try another VM")]
    RequestFailed {
        /// Address of the VM.
        vm: String,
        /// Error of the HTTP client or the JSON decoder.
        reason: String,
    },
    /// The VM rejected the token.
    #[error("{vm} rejected the token; it must equal operator_token in the settings of the VM")]
    Unauthorized {
        /// Address of the VM.
        vm: String,
    },
}
