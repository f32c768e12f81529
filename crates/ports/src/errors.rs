//! Errors of calls to the platform.

/// Why a call to the platform failed, and whether it may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The request was not sent, so it did not take effect.
    #[error("cannot connect to the platform; the request was not sent")]
    Unreachable,
    /// The request was sent but no readable response arrived, so it may have taken effect.
    #[error("no valid response from the platform; the request may have taken effect")]
    ResponseLost,
    /// The platform rejected the request with this HTTP status; it did not take effect.
    #[error("the platform rejected the request with HTTP status {0}")]
    Rejected(u16),
}
