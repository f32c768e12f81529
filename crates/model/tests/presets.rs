//! Accepted changes stay, and no VM steps back, in every order inside the bounds.

use {
    control::{Change, Kind, Mark},
    model::{Outcome, PresetBounds, PresetVariant, PresetWorld, explore},
};

const BOUNDS: PresetBounds = PresetBounds {
    vms: 2,
    lost_answers: 2,
    restarts: 1,
};

fn switch(name: &str) -> Change {
    Change::Preset {
        name: name.to_owned(),
        expect: 1,
    }
}

fn leave(name: &str) -> Change {
    Change::Leaving(Mark {
        kind: Kind::Zone,
        name: name.to_owned(),
    })
}

fn two_switches(variant: PresetVariant) -> PresetWorld {
    let changes = [("op0", switch("peak")), ("op1", switch("maintenance"))];
    PresetWorld::new(variant, BOUNDS, &changes)
}

fn switch_and_drain(variant: PresetVariant) -> PresetWorld {
    let changes = [("op0", switch("peak")), ("op1", leave("cebu-a"))];
    PresetWorld::new(variant, BOUNDS, &changes)
}

fn states(start: &PresetWorld, broken: impl Fn(&PresetWorld) -> bool) -> usize {
    match explore(start, PresetWorld::next, broken) {
        Outcome::Holds { states } => states,
        Outcome::Refuted { trace } => panic!("{} states: {trace:#?}", trace.len()),
    }
}

fn trace_length(start: &PresetWorld, broken: impl Fn(&PresetWorld) -> bool) -> usize {
    match explore(start, PresetWorld::next, broken) {
        Outcome::Holds { states } => panic!("not refuted in {states} states"),
        Outcome::Refuted { trace } => trace.len(),
    }
}

fn broken(world: &PresetWorld) -> bool {
    world.stepped_back() || world.split() || world.false_refusal() || world.lost_change()
}

#[test]
fn two_switches_at_once_keep_every_promise() {
    let start = two_switches(PresetVariant::Strict);

    let states = states(&start, |world| broken(world) || world.all_accepted());

    println!("states: {states}");
    assert!(states > 1_000);
}

#[test]
fn a_switch_and_a_drain_at_once_keep_every_promise() {
    let start = switch_and_drain(PresetVariant::Strict);

    let states = states(&start, broken);

    println!("states: {states}");
    assert!(states > 1_000);
}

#[test]
fn a_switch_and_a_drain_can_both_be_accepted() {
    let start = switch_and_drain(PresetVariant::Strict);

    assert!(trace_length(&start, PresetWorld::all_accepted) > 1);
}

#[test]
fn applying_any_version_steps_back() {
    let start = switch_and_drain(PresetVariant::AnyVersion);

    assert!(trace_length(&start, PresetWorld::stepped_back) > 1);
}

#[test]
fn without_read_back_an_operator_is_told_a_falsehood() {
    let start = two_switches(PresetVariant::NoReadBack);

    assert!(trace_length(&start, PresetWorld::false_refusal) > 1);
}

#[test]
fn blind_writes_lose_an_accepted_change() {
    let start = switch_and_drain(PresetVariant::BlindWrite);

    assert!(trace_length(&start, PresetWorld::lost_change) > 1);
}
