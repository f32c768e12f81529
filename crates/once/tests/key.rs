//! Idempotency keys.

use {
    once::{Key, KeyError, MAX_CLOCK_SKEW_MS, RETENTION_MS},
    uuid::{NoContext, Timestamp, Uuid},
};

const NOW_MS: u64 = 1_796_000_000_000;

fn key_of(ms: u64) -> String {
    Uuid::new_v7(Timestamp::from_unix(NoContext, ms / 1000, 0)).to_string()
}

#[test]
fn key_with_a_time_expires_and_may_not_come_from_the_future() {
    let fresh = key_of(NOW_MS);
    let old = key_of(NOW_MS - RETENTION_MS - 1000);
    let early = key_of(NOW_MS + MAX_CLOCK_SKEW_MS + 1000);

    assert!(Key::parse(&fresh, NOW_MS).is_ok());
    assert_eq!(Key::parse(&old, NOW_MS), Err(KeyError::Expired));
    assert_eq!(Key::parse(&early, NOW_MS), Err(KeyError::InFuture));
}

#[test]
fn row_is_swept_only_after_every_clock_refuses_its_key() {
    let text = key_of(NOW_MS);
    let row = Key::parse(&text, NOW_MS).unwrap().row_key("payline");
    let slow_clock = NOW_MS + RETENTION_MS;

    let kept_until = slow_clock + MAX_CLOCK_SKEW_MS;

    assert!(Key::sweep_end(kept_until) <= row);
    assert!(Key::sweep_end(kept_until + 2 * MAX_CLOCK_SKEW_MS) > row);
}

#[test]
fn key_without_a_time_is_never_in_the_range_that_is_swept() {
    let row = Key::parse("order-4711-a", NOW_MS)
        .unwrap()
        .row_key("payline");

    assert!(!row.starts_with("claim/t/"));
}

#[test]
fn short_long_and_unprintable_keys_are_malformed() {
    for text in ["", "short", "has a space", &"x".repeat(129)] {
        assert_eq!(Key::parse(text, NOW_MS), Err(KeyError::Malformed));
    }
}
