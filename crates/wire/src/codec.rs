//! `MessagePack` codec, and frames that carry an encoded head followed by a raw body.
//!
//! A frame is the length of the head (32 bits, big-endian), the head and the body. The body
//! extends to the end of the frame.

use {
    crate::CodecError,
    serde::{Serialize, de::DeserializeOwned},
};

const HEAD_LENGTH_BYTES: usize = 4;

/// Encodes a value as `MessagePack`. Fields are identified by their position.
///
/// # Errors
/// [`CodecError::Encode`] if the value cannot be serialized.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec(value)?)
}

/// Decodes a value that was encoded by [`encode`].
///
/// # Errors
/// [`CodecError::Decode`] if the bytes are not a value of type `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Encodes a head and appends the body unchanged; the body does not pass through the codec.
///
/// # Errors
/// [`CodecError::Encode`] if the head cannot be serialized, [`CodecError::Truncated`] if it
/// exceeds 4 GiB.
pub fn encode_frame<T: Serialize>(head: &T, body: &[u8]) -> Result<Vec<u8>, CodecError> {
    let head = encode(head)?;
    let head_length = u32::try_from(head.len()).map_err(|_| CodecError::Truncated)?;
    let mut frame = Vec::with_capacity(HEAD_LENGTH_BYTES + head.len() + body.len());
    frame.extend_from_slice(&head_length.to_be_bytes());
    frame.extend_from_slice(&head);
    frame.extend_from_slice(body);
    Ok(frame)
}

/// Decodes a frame that was encoded by [`encode_frame`] into its head and body.
///
/// # Errors
/// [`CodecError::Truncated`] if the frame ends before its head is complete,
/// [`CodecError::Decode`] if the head is not a value of type `T`.
pub fn decode_frame<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), CodecError> {
    let (head_length, rest) = bytes
        .split_first_chunk::<HEAD_LENGTH_BYTES>()
        .ok_or(CodecError::Truncated)?;
    let head_length = u32::from_be_bytes(*head_length) as usize;
    let (head, body) = rest
        .split_at_checked(head_length)
        .ok_or(CodecError::Truncated)?;
    Ok((decode(head)?, body))
}
