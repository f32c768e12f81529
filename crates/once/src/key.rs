//! Idempotency keys and how long they are remembered.

use uuid::{Uuid, Version};

/// How long a key that carries its time is remembered, in milliseconds.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Largest difference assumed between two clocks of the system, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 5 * 60 * 1000;

const MIN_KEY_CHARS: usize = 8;
const MAX_KEY_CHARS: usize = 128;

/// Why a key is not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// Too short, too long, or not printable.
    #[error("a key has {MIN_KEY_CHARS} to {MAX_KEY_CHARS} printable characters without spaces")]
    Malformed,
    /// The key's own time lies in the future.
    #[error("the key's time is in the future")]
    InFuture,
    /// The key is older than it would be remembered.
    #[error("the key is older than it is remembered")]
    Expired,
}

/// A checked idempotency key.
///
/// A `UUIDv7` carries its time, so its row can be removed after [`RETENTION_MS`]
/// and an older key is refused unseen. Any other key is kept for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key<'a> {
    text: &'a str,
    created_ms: Option<u64>,
}

impl<'a> Key<'a> {
    /// Checks a key at the time `now_ms` since the epoch.
    ///
    /// # Errors
    /// [`KeyError`] says why the key cannot be used.
    pub fn parse(text: &'a str, now_ms: u64) -> Result<Self, KeyError> {
        let printable = text.bytes().all(|byte| byte.is_ascii_graphic());
        if !printable || !(MIN_KEY_CHARS..=MAX_KEY_CHARS).contains(&text.len()) {
            return Err(KeyError::Malformed);
        }
        let created_ms = created_ms(text);
        if let Some(created) = created_ms {
            if created > now_ms + MAX_CLOCK_SKEW_MS {
                return Err(KeyError::InFuture);
            }
            if created + RETENTION_MS < now_ms {
                return Err(KeyError::Expired);
            }
        }
        Ok(Self { text, created_ms })
    }

    /// Name of the row that remembers this key for a service.
    ///
    /// Rows with a time sort by it, so that one range holds all expired rows.
    #[must_use]
    pub fn row_key(&self, service: &str) -> String {
        match self.created_ms {
            Some(created) => format!("claim/t/{created:015}/{service}/{}", self.text),
            None => format!("claim/o/{service}/{}", self.text),
        }
    }

    /// First row name that must be kept; every `claim/t/` row below it has expired.
    #[must_use]
    pub fn sweep_end(now_ms: u64) -> String {
        let oldest = now_ms.saturating_sub(RETENTION_MS + 2 * MAX_CLOCK_SKEW_MS);
        format!("claim/t/{oldest:015}/")
    }
}

fn created_ms(text: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(text).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
