//! How long a body is awaited before its request is sent to another target beside it.

use {balance::body_time, std::time::Duration};

const OBJECTIVE: Duration = Duration::from_millis(500);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a body without end that takes all of the time of a request which another target
/// would serve.
#[test]
fn time_for_another_attempt_is_left() {
    assert_eq!(body_time(ms(2500), OBJECTIVE), ms(1500));
}

/// Guards against a body that is given up at once, as little time is left.
#[test]
fn half_of_a_short_time_is_for_the_body() {
    assert_eq!(body_time(ms(400), OBJECTIVE), ms(200));
}
