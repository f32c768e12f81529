//! Checks in every order of events within the bounds that a key runs at most once and that
//! callers receive true outcomes, and that the removal of each safeguard is detected.

use {
    model::{CheckResult, ClaimBounds, ClaimState, check_invariant},
    once::Safeguards,
};

/// Two sends with every kind of fault, at least twice where a second one matters.
const TWO_SENDS: ClaimBounds = ClaimBounds {
    sends: 2,
    crashes: 2,
    lost_responses: 3,
    outages: 1,
    refusals: 2,
    broken_exchanges: 2,
};

/// Three sends with every kind of fault, most of them twice.
const THREE_SENDS: ClaimBounds = ClaimBounds {
    sends: 3,
    crashes: 2,
    lost_responses: 2,
    outages: 1,
    refusals: 1,
    broken_exchanges: 2,
};

/// Returns the number of reachable states, none of which violates the invariant.
fn count_states(bounds: ClaimBounds, violates: impl Fn(&ClaimState) -> bool) -> usize {
    let start = ClaimState::new(Safeguards::STRICT, bounds);
    match check_invariant(&start, ClaimState::successors, violates) {
        CheckResult::Holds { states } => states,
        CheckResult::Refuted { trace } => {
            panic!("violation after {} states: {trace:#?}", trace.len())
        }
    }
}

/// Returns the length of the shortest trace to a state that fulfils `violates`.
fn trace_length(safeguards: Safeguards, violates: impl Fn(&ClaimState) -> bool) -> usize {
    let start = ClaimState::new(safeguards, TWO_SENDS);
    match check_invariant(&start, ClaimState::successors, violates) {
        CheckResult::Holds { states } => panic!("no violation in {states} states"),
        CheckResult::Refuted { trace } => trace.len(),
    }
}

/// Returns whether a state violates any invariant.
fn violates_any(state: &ClaimState) -> bool {
    state.has_run_twice() || state.has_false_not_run() || state.has_false_response()
}

#[test]
fn two_sends_violate_no_invariant() {
    let states = count_states(TWO_SENDS, violates_any);

    println!("states: {states}");
    assert!(states > 10_000);
}

#[test]
fn three_sends_violate_no_invariant() {
    let states = count_states(THREE_SENDS, violates_any);

    println!("states: {states}");
    assert!(states > 10_000);
}

#[test]
fn an_answered_send_is_reachable() {
    let length = trace_length(Safeguards::STRICT, ClaimState::has_response);

    assert!(length > 1);
}

#[test]
fn without_read_back_a_key_runs_twice() {
    let safeguards = Safeguards {
        read_back: false,
        ..Safeguards::STRICT
    };

    assert!(trace_length(safeguards, ClaimState::has_run_twice) > 1);
}

#[test]
fn with_retry_after_a_write_error_a_key_runs_twice() {
    let safeguards = Safeguards {
        no_retry_after_send: false,
        ..Safeguards::STRICT
    };

    assert!(trace_length(safeguards, ClaimState::has_run_twice) > 1);
}

#[test]
fn with_overwritten_claims_a_key_runs_twice() {
    let safeguards = Safeguards {
        insert_if_absent: false,
        ..Safeguards::STRICT
    };

    assert!(trace_length(safeguards, ClaimState::has_run_twice) > 1);
}

#[test]
fn with_release_after_dispatch_a_key_runs_twice() {
    let safeguards = Safeguards {
        release_only_unsent: false,
        ..Safeguards::STRICT
    };

    assert!(trace_length(safeguards, ClaimState::has_run_twice) > 1);
}

#[test]
fn without_the_unresolved_count_a_caller_receives_a_false_not_run() {
    let safeguards = Safeguards {
        check_unresolved: false,
        ..Safeguards::STRICT
    };

    assert!(trace_length(safeguards, ClaimState::has_false_not_run) > 1);
}
