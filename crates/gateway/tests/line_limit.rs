//! Log lines of an event that comes hundreds of times a second, as when a release replaces targets.

use {gateway::LineLimit, std::time::Duration};

const MAX_PER_S: u32 = 16;

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn first_lines_of_a_second_are_logged_and_the_others_counted() {
    let mut limit = LineLimit::default();

    let logged = (0..250).filter(|n| limit.may_log(MAX_PER_S, at(2 * n)));

    assert_eq!(logged.count(), 16);
    assert_eq!(limit.take_omitted(at(999)), None);
    assert_eq!(limit.take_omitted(at(1000)), Some(234));
    assert_eq!(limit.take_omitted(at(1100)), None);
}

#[test]
fn lines_of_the_next_second_are_logged_again() {
    let mut limit = LineLimit::default();
    for _ in 0..250 {
        limit.may_log(MAX_PER_S, at(0));
    }

    assert!(!limit.may_log(MAX_PER_S, at(999)));
    assert!(limit.may_log(MAX_PER_S, at(1000)));
}

#[test]
fn few_lines_are_all_logged() {
    let mut limit = LineLimit::default();

    let logged = (0..100).filter(|n| limit.may_log(MAX_PER_S, at(100 * n)));

    assert_eq!(logged.count(), 100);
    assert_eq!(limit.take_omitted(at(60_000)), None);
}
