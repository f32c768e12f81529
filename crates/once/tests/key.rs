//! Idempotency keys and their retention.

use {
    once::{Key, KeyError, MAX_CLOCK_SKEW_MS, RETENTION_MS},
    uuid::{NoContext, Timestamp, Uuid},
};

const NOW_MS: u64 = 1_796_000_000_000;

/// Returns a `UUIDv7` key created at `created_ms` since the epoch.
fn key_created_at(created_ms: u64) -> String {
    Uuid::new_v7(Timestamp::from_unix(NoContext, created_ms / 1000, 0)).to_string()
}

#[test]
fn key_with_a_creation_time_is_rejected_when_expired_or_in_the_future() {
    let fresh = key_created_at(NOW_MS);
    let old = key_created_at(NOW_MS - RETENTION_MS - 1000);
    let early = key_created_at(NOW_MS + MAX_CLOCK_SKEW_MS + 1000);

    assert!(Key::parse(&fresh, NOW_MS).is_ok());
    assert_eq!(Key::parse(&old, NOW_MS), Err(KeyError::Expired));
    assert_eq!(Key::parse(&early, NOW_MS), Err(KeyError::InFuture));
}

#[test]
fn row_is_swept_only_after_every_clock_rejects_its_key() {
    let text = key_created_at(NOW_MS);
    let row = Key::parse(&text, NOW_MS).unwrap().row_key("payline");
    let expires_ms = NOW_MS + RETENTION_MS;

    let rejected_everywhere_ms = expires_ms + MAX_CLOCK_SKEW_MS;

    assert!(Key::sweep_end(rejected_everywhere_ms) <= row);
    assert!(Key::sweep_end(rejected_everywhere_ms + 2 * MAX_CLOCK_SKEW_MS) > row);
}

#[test]
fn key_without_a_creation_time_is_never_swept() {
    let row = Key::parse("order-4711-a", NOW_MS)
        .unwrap()
        .row_key("payline");

    assert!(!row.starts_with("claim/t/"));
}

#[test]
fn key_of_invalid_length_or_characters_is_malformed() {
    for text in ["", "short", "has a space", &"x".repeat(129)] {
        assert_eq!(Key::parse(text, NOW_MS), Err(KeyError::Malformed));
    }
}
