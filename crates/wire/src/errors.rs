//! Errors of the codec.

/// Why a value could not be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The value could not be serialized.
    #[error("cannot encode as MessagePack: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The bytes are not a value of the expected type.
    #[error("cannot decode MessagePack: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The frame ends before its head is complete, or the head is too long for its length field.
    #[error("frame ends before its head is complete, or its head exceeds 4 GiB")]
    Truncated,
    /// The bytes could not be compressed or restored.
    #[error("cannot compress or restore: {0}")]
    Compression(#[source] std::io::Error),
    /// The restored bytes would be longer than this number.
    #[error("restored bytes exceed {0}")]
    TooLong(usize),
}
