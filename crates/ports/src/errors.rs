//! Failures of the platform.

/// Why the platform did not answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// Nothing was sent, so nothing took effect.
    #[error("the platform cannot be reached")]
    Unreachable,
    /// The call was sent and its answer was lost, so it may have taken effect.
    #[error("the platform's answer was lost")]
    ResponseLost,
    /// The platform said that it did nothing.
    #[error("the platform refused with status {0}")]
    Refused(u16),
}
