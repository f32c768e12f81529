//! Failures of the codec.

/// Why bytes from another process were not taken.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value could not be written.
    #[error("encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes do not hold the expected type.
    #[error("decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// A framed message ended inside its head.
    #[error("frame is cut short")]
    Truncated,
}
