//! Requests at a VM that is about to end.

use {balance::shutdown::may_begin, std::time::Duration};

/// Guards against a request that gets a slot so late that its VM ends while the target works on it.
#[test]
fn request_is_begun_only_if_its_run_ends_before_the_vm() {
    let run = Duration::from_secs(2);

    let verdicts = [0, 1999, 2001].map(|ms| may_begin(Duration::from_millis(ms), run));

    assert_eq!(verdicts, [false, false, true]);
}
