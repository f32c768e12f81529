//! Compression of large messages between VMs.

use {
    crate::CodecError,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    std::io::{Read, Write},
};

/// Compresses bytes, at the level that takes the least processor time.
///
/// # Errors
/// [`CodecError::Compression`] if that fails.
pub fn compress(bytes: &[u8]) -> Result<Vec<u8>, CodecError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes).map_err(CodecError::Compression)?;
    encoder.finish().map_err(CodecError::Compression)
}

/// Restores bytes that were compressed by [`compress`], if they are at most `max_bytes` long.
///
/// # Errors
/// [`CodecError::Compression`] if the bytes are damaged, [`CodecError::TooLong`] if the result would
/// be longer.
pub fn decompress(bytes: &[u8], max_bytes: usize) -> Result<Vec<u8>, CodecError> {
    let limit = u64::try_from(max_bytes).unwrap_or(u64::MAX);
    let mut decoder = DeflateDecoder::new(bytes).take(limit.saturating_add(1));
    let mut restored = Vec::new();
    decoder
        .read_to_end(&mut restored)
        .map_err(CodecError::Compression)?;
    if restored.len() > max_bytes {
        return Err(CodecError::TooLong(max_bytes));
    }
    Ok(restored)
}
