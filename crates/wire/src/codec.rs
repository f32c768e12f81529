//! `MessagePack` for heads, raw bytes for bodies.

use {
    crate::CodecError,
    serde::{Serialize, de::DeserializeOwned},
};

const LENGTH_BYTES: usize = 4;

/// Writes a value as `MessagePack`, fields by position.
///
/// # Errors
/// [`CodecError::Encode`] when the value cannot be written.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, CodecError> {
    Ok(rmp_serde::to_vec(value)?)
}

/// Reads a value that [`encode`] wrote.
///
/// # Errors
/// [`CodecError::Decode`] when the bytes hold something else.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    Ok(rmp_serde::from_slice(bytes)?)
}

/// Writes a head and the body that follows it, without copying the body through the codec.
///
/// # Errors
/// [`CodecError::Encode`] when the head cannot be written.
pub fn encode_frame<T: Serialize>(head: &T, body: &[u8]) -> Result<Vec<u8>, CodecError> {
    let head = encode(head)?;
    let length = u32::try_from(head.len()).map_err(|_| CodecError::Truncated)?;
    let mut out = Vec::with_capacity(LENGTH_BYTES + head.len() + body.len());
    out.extend_from_slice(&length.to_be_bytes());
    out.extend_from_slice(&head);
    out.extend_from_slice(body);
    Ok(out)
}

/// Splits what [`encode_frame`] wrote into head and body.
///
/// # Errors
/// [`CodecError::Truncated`] when the frame ends inside its head.
pub fn decode_frame<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), CodecError> {
    let (length, rest) = bytes
        .split_first_chunk::<LENGTH_BYTES>()
        .ok_or(CodecError::Truncated)?;
    let length = u32::from_be_bytes(*length) as usize;
    let (head, body) = rest.split_at_checked(length).ok_or(CodecError::Truncated)?;
    Ok((decode(head)?, body))
}
