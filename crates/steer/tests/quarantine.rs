//! Quarantine of requests that are suspected of crashing targets.

use {
    std::time::Duration,
    steer::{QUARANTINE_CRASH_THRESHOLD, Quarantine},
};

const NOW: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(500);

#[test]
fn request_is_blocked_at_the_limit_and_released_after_expiry() {
    let mut quarantine = Quarantine::default();

    for count in 1..=QUARANTINE_CRASH_THRESHOLD {
        assert_eq!(quarantine.remaining_time("a", NOW), None);
        assert_eq!(quarantine.record_crash("a", NOW), count);
    }

    assert!(quarantine.remaining_time("a", NOW).is_some());
    assert_eq!(quarantine.remaining_time("b", NOW), None);
    assert_eq!(quarantine.remaining_time("a", LATER), None);
}

#[test]
fn merged_count_at_the_limit_blocks_the_request() {
    let mut quarantine = Quarantine::default();

    quarantine.merge("a", QUARANTINE_CRASH_THRESHOLD, Duration::from_secs(9), NOW);

    assert_eq!(
        quarantine.remaining_time("a", NOW),
        Some(Duration::from_secs(9))
    );
}

#[test]
fn request_answered_between_crashes_is_not_blocked() {
    let mut quarantine = Quarantine::default();

    for _ in 0..5 {
        quarantine.record_crash("a", NOW);
        quarantine.record_success("a");
        quarantine.merge("a", 1, Duration::from_mins(1), NOW);
    }

    assert_eq!(quarantine.remaining_time("a", NOW), None);
}
