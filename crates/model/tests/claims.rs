//! At most once, and true refusals, in every order of events inside the bounds.

use {
    model::{ClaimBounds, ClaimWorld, Outcome, explore},
    once::Safeguards,
};

/// Two sends with every fault, twice where that matters.
const TWO_SENDS: ClaimBounds = ClaimBounds {
    sends: 2,
    crashes: 2,
    lost_answers: 3,
    outages: 1,
    refusals: 2,
    breaks: 2,
};

/// Three sends, most faults twice.
const THREE_SENDS: ClaimBounds = ClaimBounds {
    sends: 3,
    crashes: 2,
    lost_answers: 2,
    outages: 1,
    refusals: 1,
    breaks: 2,
};

fn states(bounds: ClaimBounds, broken: impl Fn(&ClaimWorld) -> bool) -> usize {
    let start = ClaimWorld::new(Safeguards::STRICT, bounds);
    match explore(&start, ClaimWorld::next, broken) {
        Outcome::Holds { states } => states,
        Outcome::Refuted { trace } => panic!("{} states: {trace:#?}", trace.len()),
    }
}

fn trace_length(rules: Safeguards, broken: impl Fn(&ClaimWorld) -> bool) -> usize {
    let start = ClaimWorld::new(rules, TWO_SENDS);
    match explore(&start, ClaimWorld::next, broken) {
        Outcome::Holds { states } => panic!("not refuted in {states} states"),
        Outcome::Refuted { trace } => trace.len(),
    }
}

fn broken(world: &ClaimWorld) -> bool {
    world.ran_twice() || world.false_not_run() || world.false_answer()
}

#[test]
fn two_sends_keep_every_promise() {
    let states = states(TWO_SENDS, broken);

    println!("states: {states}");
    assert!(states > 10_000);
}

#[test]
fn three_sends_keep_every_promise() {
    let states = states(THREE_SENDS, broken);

    println!("states: {states}");
    assert!(states > 10_000);
}

#[test]
fn an_answer_is_reachable() {
    let length = trace_length(Safeguards::STRICT, ClaimWorld::answered);

    assert!(length > 1);
}

#[test]
fn without_read_back_a_key_runs_twice() {
    let rules = Safeguards {
        read_back: false,
        ..Safeguards::STRICT
    };

    assert!(trace_length(rules, ClaimWorld::ran_twice) > 1);
}

#[test]
fn with_a_retry_after_a_write_error_a_key_runs_twice() {
    let rules = Safeguards {
        no_retry_after_send: false,
        ..Safeguards::STRICT
    };

    assert!(trace_length(rules, ClaimWorld::ran_twice) > 1);
}

#[test]
fn with_claims_that_overwrite_a_key_runs_twice() {
    let rules = Safeguards {
        insert_if_absent: false,
        ..Safeguards::STRICT
    };

    assert!(trace_length(rules, ClaimWorld::ran_twice) > 1);
}

#[test]
fn with_a_release_after_dispatch_a_key_runs_twice() {
    let rules = Safeguards {
        release_only_unsent: false,
        ..Safeguards::STRICT
    };

    assert!(trace_length(rules, ClaimWorld::ran_twice) > 1);
}

#[test]
fn without_the_count_of_unresolved_sends_not_run_is_false() {
    let rules = Safeguards {
        check_unresolved: false,
        ..Safeguards::STRICT
    };

    assert!(trace_length(rules, ClaimWorld::false_not_run) > 1);
}
