//! Timeouts of calls that wait for changes, for stores that are silent, slow or back again.

use {catalog::WatchTimeouts, std::time::Duration};

const CHANGE_TIME: Duration = Duration::from_secs(2);

#[test]
fn silent_store_is_noticed_before_a_change_has_to_be_in_force() {
    let timeouts = WatchTimeouts::new(CHANGE_TIME);

    let time = timeouts.batch_delay() + timeouts.timeout();
    assert!(time <= CHANGE_TIME.mul_f64(0.75));
}

#[test]
fn call_after_a_failure_does_not_wait_for_changes() {
    let mut timeouts = WatchTimeouts::new(CHANGE_TIME);

    timeouts.record_failure();
    let after_failure = timeouts.wait();
    timeouts.record_success(Duration::from_millis(10));

    assert_eq!(after_failure, Duration::ZERO);
    assert!(timeouts.wait() > Duration::ZERO);
}

#[test]
fn slow_store_is_followed_after_a_few_failures() {
    let response_time = Duration::from_millis(700);
    let mut timeouts = WatchTimeouts::new(CHANGE_TIME);

    let mut failures = 0;
    for _ in 0..20 {
        let elapsed = timeouts.wait() + response_time;
        if elapsed < timeouts.timeout() {
            timeouts.record_success(elapsed);
        } else {
            timeouts.record_failure();
            failures += 1;
        }
    }

    assert_eq!(failures, 1);
}

#[test]
fn store_that_is_no_longer_slow_gets_the_first_timeout_again() {
    let mut timeouts = WatchTimeouts::new(CHANGE_TIME);
    let first = timeouts.timeout();
    for _ in 0..5 {
        timeouts.record_failure();
    }
    timeouts.record_success(Duration::from_millis(900));

    let wait = timeouts.wait();
    timeouts.record_success(wait + Duration::from_millis(20));

    assert_eq!(timeouts.timeout(), first);
}

#[test]
fn response_with_changes_leaves_the_timeout_of_a_slow_store() {
    let mut timeouts = WatchTimeouts::new(CHANGE_TIME);
    timeouts.record_failure();
    timeouts.record_success(Duration::from_millis(700));
    let slow = timeouts.timeout();

    timeouts.record_success(timeouts.wait() / 2);

    assert_eq!(timeouts.timeout(), slow);
}
