//! Quarantine of requests that are suspected of crashing targets.

use {
    std::{ops::Range, time::Duration},
    steer::{QUARANTINE_CRASH_THRESHOLD, Quarantine},
};

const NOW: Duration = Duration::from_secs(100);
const LATER: Duration = Duration::from_secs(500);

const RUN: Duration = Duration::from_millis(300);

/// Returns an exchange that begins this many runs after `NOW`.
fn exchange(number: u32) -> Range<Duration> {
    let start = NOW + RUN * number;
    start..start + RUN
}

#[test]
fn request_is_blocked_at_the_limit_and_released_after_expiry() {
    let mut quarantine = Quarantine::default();

    for count in 1..=QUARANTINE_CRASH_THRESHOLD {
        assert_eq!(quarantine.remaining_time("a", NOW), None);
        let counted = quarantine.record_crash("a", &exchange(count), NOW);
        assert_eq!(counted, Some(count));
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

    for number in 0..5 {
        quarantine.record_crash("a", &exchange(number), NOW);
        quarantine.record_success("a");
        quarantine.merge("a", 1, Duration::from_mins(1), NOW);
    }

    assert_eq!(quarantine.remaining_time("a", NOW), None);
}

/// Guards against one crash that counts once for each of the requests with one content that it ends.
#[test]
fn crash_that_ends_several_exchanges_is_counted_once() {
    let mut quarantine = Quarantine::default();

    let first = quarantine.record_crash("a", &exchange(1), NOW);
    let second = quarantine.record_crash("a", &exchange(1), NOW);

    assert_eq!((first, second), (Some(1), None));
    assert_eq!(quarantine.remaining_time("a", NOW), None);
}

/// Guards against the same where another VM has counted it.
#[test]
fn crash_that_another_vm_has_counted_is_not_counted_again() {
    let mut quarantine = Quarantine::default();

    quarantine.merge("a", 1, RUN, exchange(1).end);
    let counted = quarantine.record_crash("a", &exchange(1), NOW);

    assert_eq!(counted, None);
}

/// Guards against a request that crashes one target after the other and is never counted, as it is sent
/// again as soon as the first one is gone, before that is known for a crash.
#[test]
fn crash_under_a_request_that_was_sent_again_at_once_is_counted() {
    let mut quarantine = Quarantine::default();

    quarantine.record_crash("a", &exchange(1), NOW + RUN);
    let counted = quarantine.record_crash("a", &exchange(2), NOW + RUN);

    assert_eq!(counted, Some(2));
}
