//! Copies of slow reads: when one is sent, and what it may not take from others.

use {
    balance::{
        Affinity, Dispatch, Locality, ResponseTimes, RetryBudget, RetryRule,
        hedge::{Declined, Hedging, Pending, has_room_for_copy},
    },
    proptest::prelude::*,
    std::time::Duration,
};

const USUAL: Duration = Duration::from_millis(150);
const SLOW: Duration = Duration::from_millis(1050);
/// What a copy is expected to take at a target that has the object.
const COPY_S: f64 = 0.2;
const NOW: Duration = Duration::from_secs(20);

fn dispatch(target: &str, requests_ahead: f64) -> Dispatch {
    Dispatch {
        target: target.to_owned(),
        route: "r".to_owned(),
        locality: Locality::SameZone,
        object: Some("7".to_owned()),
        sent_at: Duration::ZERO,
        affinity: Affinity::Known,
        requests_ahead,
        slots: 4.0,
        round_trip: Duration::ZERO,
    }
}

fn pending(dispatch: &Dispatch, elapsed: Duration) -> Pending<'_> {
    Pending {
        dispatch,
        service: "s",
        elapsed,
    }
}

/// Returns what a VM knows after responses of which one in thirty takes seven times as long.
fn hedging_with_slow_runs(first: &Dispatch) -> Hedging {
    let mut hedging = Hedging::default();
    for number in 0..600 {
        let took = if number % 30 == 0 { SLOW } else { USUAL };
        hedging.record_response(first, took);
    }
    hedging
}

#[test]
fn copy_is_sent_once_the_run_takes_longer_than_usual() {
    let first = dispatch("a", 0.0);
    let hedging = hedging_with_slow_runs(&first);

    let at = hedging.time_to_copy(&pending(&first, Duration::ZERO), COPY_S);

    let at = at.expect("slow runs are known");
    assert!(at > USUAL && at < USUAL * 3 / 2, "{at:?}");
    let late = pending(&first, at);
    assert_eq!(
        hedging.check_copy(&late, &dispatch("b", 0.0), COPY_S, NOW),
        Ok(())
    );
}

#[test]
fn run_that_may_still_be_a_usual_one_gets_no_copy() {
    let first = dispatch("a", 0.0);
    let hedging = hedging_with_slow_runs(&first);

    let early = pending(&first, USUAL / 2);
    let checked = hedging.check_copy(&early, &dispatch("b", 0.0), COPY_S, NOW);

    assert_eq!(checked, Err(Declined::NotSooner));
}

#[test]
fn copy_that_would_take_longer_than_the_slow_run_is_not_sent() {
    let first = dispatch("a", 0.0);
    let hedging = hedging_with_slow_runs(&first);

    let late = pending(&first, USUAL * 2);
    let first_run_s = 2.0;

    assert_eq!(hedging.time_to_copy(&late, first_run_s), None);
    let checked = hedging.check_copy(&late, &dispatch("b", 0.0), first_run_s, NOW);
    assert_eq!(checked, Err(Declined::NotSooner));
}

#[test]
fn even_running_times_never_call_for_a_copy() {
    let first = dispatch("a", 0.0);
    let mut hedging = Hedging::default();
    for _ in 0..600 {
        hedging.record_response(&first, USUAL);
    }

    let at = hedging.time_to_copy(&pending(&first, Duration::ZERO), COPY_S);

    assert_eq!(at, None);
}

/// Running times vary as those of ordinary work do, so that a new run is no better than the one
/// that goes on.
#[test]
fn ordinary_variation_does_not_call_for_a_copy() {
    let first = dispatch("a", 0.0);
    let mut hedging = Hedging::default();
    for number in 0..600 {
        hedging.record_response(&first, Duration::from_millis(100 + number % 200));
    }

    let at = hedging.time_to_copy(&pending(&first, Duration::ZERO), 0.0);

    assert_eq!(at, None);
}

/// Usual runs end within a few milliseconds of each other. A copy is not sent while most of those
/// that are still running are about to end.
#[test]
fn copy_waits_until_nearly_all_usual_runs_have_ended() {
    let first = dispatch("a", 0.0);
    let mut hedging = Hedging::default();
    for number in 0..600 {
        let usual_ms = 140 + number % 20;
        let took = if number % 30 == 0 { 1050 } else { usual_ms };
        hedging.record_response(&first, Duration::from_millis(took));
    }

    let at = hedging.time_to_copy(&pending(&first, Duration::ZERO), COPY_S);

    assert!(
        at.is_some_and(|at| at > Duration::from_millis(158)),
        "{at:?}"
    );
}

#[test]
fn few_responses_do_not_call_for_a_copy() {
    let first = dispatch("a", 0.0);
    let mut hedging = Hedging::default();
    for _ in 0..5 {
        hedging.record_response(&first, USUAL);
        hedging.record_response(&first, SLOW);
    }

    let at = hedging.time_to_copy(&pending(&first, Duration::ZERO), COPY_S);

    assert_eq!(at, None);
}

/// All targets become slower, so that what was slow is usual.
#[test]
fn delay_follows_a_change_of_the_usual_running_time() {
    let first = dispatch("a", 0.0);
    let mut hedging = hedging_with_slow_runs(&first);
    let before = hedging.time_to_copy(&pending(&first, Duration::ZERO), COPY_S);

    for number in 0..20_000 {
        let took = if number % 30 == 0 {
            SLOW * 3
        } else {
            USUAL * 3
        };
        hedging.record_response(&first, took);
    }
    let after = hedging.time_to_copy(&pending(&first, Duration::ZERO), COPY_S * 3.0);

    assert!(after > before, "{before:?} {after:?}");
    assert!(after.is_some_and(|after| after > USUAL * 3), "{after:?}");
}

/// All slow runs are given up for their copies. They must not seem to be gone, or copies would
/// cease until they come back.
#[test]
fn slow_runs_that_are_given_up_are_not_forgotten() {
    let first = dispatch("a", 0.0);
    let mut hedging = hedging_with_slow_runs(&first);

    for number in 0..20_000 {
        if number % 30 == 0 {
            hedging.record_given_up(&first, USUAL * 2);
        } else {
            hedging.record_response(&first, USUAL);
        }
    }

    let at = hedging.time_to_copy(&pending(&first, Duration::ZERO), COPY_S);
    assert!(at.is_some_and(|at| at < USUAL * 3 / 2), "{at:?}");
}

#[test]
fn busy_target_gets_no_copy() {
    let first = dispatch("a", 0.0);
    let hedging = hedging_with_slow_runs(&first);
    let busy = dispatch("b", 2.0);

    let checked = hedging.check_copy(&pending(&first, USUAL * 2), &busy, COPY_S, NOW);

    assert!(!has_room_for_copy(&busy));
    assert_eq!(checked, Err(Declined::NoRoom));
}

/// One request in ten finds no room: copies would take the room of first sends.
#[test]
fn crowded_service_gets_no_copies_until_the_crowd_is_gone() {
    let first = dispatch("a", 0.0);
    let mut hedging = hedging_with_slow_runs(&first);
    for number in 0..100 {
        hedging.record_room("s", number % 10 != 0, NOW);
    }

    let late = pending(&first, USUAL * 2);
    let copy = dispatch("b", 0.0);

    let crowded = hedging.check_copy(&late, &copy, COPY_S, NOW);
    assert_eq!(crowded, Err(Declined::Crowded));
    let later = NOW + Duration::from_secs(10);
    assert_eq!(hedging.check_copy(&late, &copy, COPY_S, later), Ok(()));
}

/// Every request is slow, and some fail: those still get retries.
#[test]
fn copies_leave_half_of_the_retry_budget_to_failures() {
    let rule = RetryRule {
        ratio: 0.2,
        slack: 0.0,
        window: Duration::from_secs(10),
    };
    let mut budget = RetryBudget::default();
    for _ in 0..1000 {
        budget.record_first_attempt(NOW, &rule);
    }

    let copies = (0..1000).filter(|_| budget.try_withdraw_copy(NOW, &rule, Some(1)));
    let copies = copies.count();
    let retries = (0..1000).filter(|_| budget.try_withdraw(NOW, &rule, Some(1)));
    let retries = retries.count();

    assert!(copies > 0 && copies <= retries, "{copies} {retries}");
    assert!(copies + retries <= 200, "{copies} {retries}");
}

proptest! {
    /// Whatever was seen, a copy is considered only when the run is expected to take at least half
    /// as long as the copy does: with a probability of a half it takes as long.
    #[test]
    fn copy_is_never_considered_before_it_is_sooner(
        times_ms in prop::collection::vec(1_u32..5_000, 60..300),
        copy_ms in 1_u32..2_000,
    ) {
        let mut times = ResponseTimes::default();
        for ms in times_ms {
            times.record(f64::from(ms) / 1000.0);
        }
        let copy_s = f64::from(copy_ms) / 1000.0;

        if let Some(at_s) = times.time_to_copy_s(0.0, copy_s) {
            let further_s = times.mean_further_s(at_s);
            prop_assert!(further_s.is_some_and(|further_s| further_s >= 0.499 * copy_s));
        }
    }
}

const OBJECTIVE: Duration = Duration::from_millis(400);

/// One run in seven is on a busy machine and late, and a copy that waits until it is slow would be late
/// as well.
#[test]
fn copy_of_a_read_that_is_likely_to_be_late_is_sent_while_it_can_be_in_time() {
    let first = dispatch("a", 0.0);
    let mut hedging = Hedging::default();
    for number in 0..700 {
        let took = if number % 7 == 0 { 450 } else { 150 };
        hedging.record_response(&first, Duration::from_millis(took));
    }

    let at = hedging.time_for_copy_in_time(&first, OBJECTIVE, COPY_S);

    let at = at.expect("most runs without a response by then are late");
    assert!(at >= USUAL && at.as_secs_f64() + COPY_S <= OBJECTIVE.as_secs_f64());
}

#[test]
fn no_copy_is_sent_that_cannot_be_in_time() {
    let first = dispatch("a", 0.0);
    let hedging = hedging_with_slow_runs(&first);

    let too_late = hedging.time_for_copy_in_time(&first, Duration::from_millis(199), COPY_S);

    assert_eq!(too_late, None);
}

#[test]
fn reads_that_are_seldom_late_without_a_response_get_no_early_copy() {
    let first = dispatch("a", 0.0);
    let mut hedging = Hedging::default();
    for number in 0..600 {
        hedging.record_response(&first, Duration::from_millis(100 + number % 280));
    }

    let at = hedging.time_for_copy_in_time(&first, OBJECTIVE, COPY_S);

    assert_eq!(at, None);
}

#[test]
fn copy_that_was_not_sent_to_a_target_costs_no_retry() {
    let rule = RetryRule {
        ratio: 0.0,
        slack: 5.0,
        window: Duration::from_secs(10),
    };
    let mut budget = RetryBudget::default();
    let withdrawn = budget.try_withdraw_copy(NOW, &rule, Some(1));
    let exhausted = budget.try_withdraw_copy(NOW, &rule, Some(1));

    budget.refund();
    let again = budget.try_withdraw_copy(NOW, &rule, Some(1));

    assert!(withdrawn && !exhausted && again);
}
