//! Failures inside the entry process.

/// Why another VM gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PeerError {
    /// Nothing was sent.
    #[error("the VM cannot be reached")]
    Unreachable,
    /// The call was sent and its answer was lost.
    #[error("the VM's answer was lost")]
    ResponseLost,
}
