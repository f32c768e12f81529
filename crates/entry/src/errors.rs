//! Errors of calls to other VMs.

/// Why a call to another VM failed, and whether it may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PeerError {
    /// The call was not sent, so it did not take effect.
    #[error("cannot connect to the VM; the call was not sent")]
    Unreachable,
    /// The call was sent but no valid response arrived, so it may have taken effect.
    #[error("no valid response from the VM; the call may have taken effect")]
    ResponseLost,
}
