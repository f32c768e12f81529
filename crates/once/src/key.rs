//! Idempotency keys and their retention.

use uuid::{Uuid, Version};

/// How long a key that contains its creation time is retained, in milliseconds.
pub const RETENTION_MS: u64 = 24 * 60 * 60 * 1000;
/// Largest assumed difference between two clocks of the system, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 5 * 60 * 1000;

const MIN_KEY_CHARS: usize = 8;
const MAX_KEY_CHARS: usize = 128;

/// Why a key is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// The key is too short or too long, or has a character that is a space or not printable.
    #[error(
        "idempotency key must have {MIN_KEY_CHARS} to {MAX_KEY_CHARS} printable ASCII characters without spaces"
    )]
    Malformed,
    /// The creation time in the key is in the future by more than [`MAX_CLOCK_SKEW_MS`].
    #[error("creation time of the idempotency key is in the future")]
    InFuture,
    /// The key is older than [`RETENTION_MS`].
    #[error("idempotency key is older than its retention time")]
    Expired,
}

/// A validated idempotency key.
///
/// A `UUIDv7` contains its creation time, so its row can be removed after [`RETENTION_MS`],
/// and an older key is rejected without a lookup. Any other key is retained forever.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key<'a> {
    text: &'a str,
    /// Creation time in a `UUIDv7`, in milliseconds since the epoch.
    created_ms: Option<u64>,
}

impl<'a> Key<'a> {
    /// Validates a key. `now_ms` is the current time in milliseconds since the epoch.
    ///
    /// # Errors
    /// Returns a [`KeyError`] when the key is malformed, from the future or expired.
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

    /// Returns the key of the row that holds the claim on this key for a service.
    ///
    /// Rows of keys with a creation time sort by it, so that one range holds all expired
    /// rows.
    #[must_use]
    pub fn row_key(&self, service: &str) -> String {
        match self.created_ms {
            Some(created) => format!("claim/t/{created:015}/{service}/{}", self.text),
            None => format!("claim/o/{service}/{}", self.text),
        }
    }

    /// Returns the exclusive end of the range to delete: every `claim/t/` row below it has
    /// expired. The margin of twice the clock skew keeps a row until every clock of the
    /// system rejects its key. `now_ms` is in milliseconds since the epoch.
    #[must_use]
    pub fn sweep_end(now_ms: u64) -> String {
        let oldest = now_ms.saturating_sub(RETENTION_MS + 2 * MAX_CLOCK_SKEW_MS);
        format!("claim/t/{oldest:015}/")
    }
}

/// Returns the creation time of a `UUIDv7`, in milliseconds since the epoch, or `None` for
/// any other text.
fn created_ms(text: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(text).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
