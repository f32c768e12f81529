//! Checks in every order of events within the bounds that no VM stays behind a store that is
//! restored from an older snapshot, and that each weakened variant is detected.

use model::{CheckResult, EraBounds, EraState, EraVariant, check_invariant};

const BOUNDS: EraBounds = EraBounds {
    writes: 2,
    snapshots: 0,
    restores: 1,
    restarts: 0,
};

fn search(variant: EraVariant, bounds: EraBounds) -> CheckResult<EraState> {
    let start = EraState::new(variant, bounds);
    check_invariant(&start, EraState::successors, EraState::stays_behind)
}

/// Returns the number of reachable states, in none of which a VM stays behind.
fn count_states(bounds: EraBounds) -> usize {
    match search(EraVariant::Strict, bounds) {
        CheckResult::Holds { states } => states,
        CheckResult::Refuted { trace } => {
            panic!("violation after {} states: {trace:#?}", trace.len())
        }
    }
}

fn is_refuted(variant: EraVariant) -> bool {
    matches!(search(variant, BOUNDS), CheckResult::Refuted { .. })
}

#[test]
fn no_vm_stays_behind_after_restores() {
    let states = count_states(BOUNDS);

    println!("states: {states}");
    assert!(states > 10_000);
}

#[test]
fn no_vm_stays_behind_after_two_restores() {
    let bounds = EraBounds {
        writes: 1,
        restores: 2,
        ..BOUNDS
    };

    let states = count_states(bounds);

    println!("states: {states}");
    assert!(states > 10_000);
}

#[test]
fn no_vm_stays_behind_after_a_restore_and_a_restart() {
    let bounds = EraBounds {
        writes: 1,
        restarts: 1,
        ..BOUNDS
    };

    let states = count_states(bounds);

    println!("states: {states}");
    assert!(states > 10_000);
}

/// The fault of the incident: a VM takes a version that the store gives out again for an old one.
#[test]
fn vm_that_ignores_eras_stays_behind() {
    assert!(is_refuted(EraVariant::IgnoreEras));
}

#[test]
fn vm_that_handles_responses_of_an_earlier_era_stays_behind() {
    assert!(is_refuted(EraVariant::KeepCalls));
}

#[test]
fn vm_that_takes_a_part_of_a_newer_era_stays_behind() {
    assert!(is_refuted(EraVariant::PartialBatches));
}
