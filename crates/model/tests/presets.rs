//! Checks in every order of events within the bounds that accepted changes persist and that
//! no VM returns to an older document, and that each weakened variant is detected.

use {
    control::{Change, Kind, Mark},
    model::{CheckResult, PresetBounds, PresetState, PresetVariant, check_invariant},
};

const BOUNDS: PresetBounds = PresetBounds {
    vms: 2,
    lost_responses: 2,
    restarts: 1,
};

fn preset_change(name: &str) -> Change {
    Change::Preset {
        name: name.to_owned(),
        expect: 1,
    }
}

fn zone_drain(name: &str) -> Change {
    Change::Leaving(Mark {
        kind: Kind::Zone,
        name: name.to_owned(),
    })
}

/// Returns the initial state of two operators that change the preset from the same version,
/// of which only one may succeed.
fn two_preset_changes(variant: PresetVariant) -> PresetState {
    let changes = [
        ("op0", preset_change("peak")),
        ("op1", preset_change("maintenance")),
    ];
    PresetState::new(variant, BOUNDS, &changes)
}

/// Returns the initial state of two operators with independent changes, which may both
/// succeed.
fn preset_change_and_drain(variant: PresetVariant) -> PresetState {
    let changes = [
        ("op0", preset_change("peak")),
        ("op1", zone_drain("cebu-a")),
    ];
    PresetState::new(variant, BOUNDS, &changes)
}

/// Returns the number of reachable states, none of which violates the invariant.
fn count_states(start: &PresetState, violates: impl Fn(&PresetState) -> bool) -> usize {
    match check_invariant(start, PresetState::successors, violates) {
        CheckResult::Holds { states } => states,
        CheckResult::Refuted { trace } => {
            panic!("violation after {} states: {trace:#?}", trace.len())
        }
    }
}

/// Returns the length of the shortest trace to a state that fulfils `violates`.
fn trace_length(start: &PresetState, violates: impl Fn(&PresetState) -> bool) -> usize {
    match check_invariant(start, PresetState::successors, violates) {
        CheckResult::Holds { states } => panic!("no violation in {states} states"),
        CheckResult::Refuted { trace } => trace.len(),
    }
}

/// Returns whether a state violates any invariant.
fn violates_any(state: &PresetState) -> bool {
    state.has_version_regression()
        || state.has_version_conflict()
        || state.has_false_refusal()
        || state.has_lost_change()
}

#[test]
fn two_concurrent_preset_changes_violate_no_invariant() {
    let start = two_preset_changes(PresetVariant::Strict);

    let states = count_states(&start, |state| violates_any(state) || state.all_accepted());

    println!("states: {states}");
    assert!(states > 1_000);
}

#[test]
fn concurrent_preset_change_and_drain_violate_no_invariant() {
    let start = preset_change_and_drain(PresetVariant::Strict);

    let states = count_states(&start, violates_any);

    println!("states: {states}");
    assert!(states > 1_000);
}

#[test]
fn preset_change_and_drain_can_both_be_accepted() {
    let start = preset_change_and_drain(PresetVariant::Strict);

    assert!(trace_length(&start, PresetState::all_accepted) > 1);
}

#[test]
fn applying_any_version_regresses_a_vm() {
    let start = preset_change_and_drain(PresetVariant::ApplyAnyVersion);

    assert!(trace_length(&start, PresetState::has_version_regression) > 1);
}

#[test]
fn without_read_back_an_operator_receives_a_false_refusal() {
    let start = two_preset_changes(PresetVariant::NoReadBack);

    assert!(trace_length(&start, PresetState::has_false_refusal) > 1);
}

#[test]
fn unconditional_writes_lose_an_accepted_change() {
    let start = preset_change_and_drain(PresetVariant::UnconditionalWrite);

    assert!(trace_length(&start, PresetState::has_lost_change) > 1);
}
