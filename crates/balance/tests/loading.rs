//! Load of objects that their targets do not have: each costs one first run.

mod fixtures;

use {
    balance::{
        Balancer, Decision, Dispatch, EligibleTarget, LoadTimes, Locality, Mode, PendingRequest,
        QueueKey,
    },
    catalog::Target,
    fixtures::target,
    proptest::prelude::*,
    std::time::Duration,
};

const OBJECTIVE: Duration = Duration::from_millis(400);
const FIRST_RUN: Duration = Duration::from_millis(500);
const REPEAT_RUN: Duration = Duration::from_millis(150);
/// Times at which waiting requests choose again, as in a VM.
const STEP_MS: u64 = 20;
const OBJECTS: [&str; 3] = ["a", "b", "c"];
const START: Duration = Duration::from_secs(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(object: &'static str) -> PendingRequest<'static> {
    PendingRequest {
        route: "r",
        service: "s",
        objective: OBJECTIVE,
        object: Some(object),
        id: "id",
        queue_key: QueueKey {
            priority: 1,
            is_late: false,
            virtual_start: 0,
            // One request in eight does not wait for a load.
            sequence: 1,
        },
        caller_wait: Duration::ZERO,
        local_wait: Duration::ZERO,
        time_left: Duration::from_secs(3),
        remote_round_trip: None,
        target_counts: None,
    }
}

fn eligible(target: &Target) -> EligibleTarget<'_> {
    EligibleTarget {
        target,
        locality: Locality::SameZone,
        round_trip: ms(1),
        is_cold: false,
        has_remote_queue: false,
        is_fallback: false,
    }
}

fn balancer(mode: Mode) -> Balancer {
    let mut balancer = Balancer::default();
    balancer.shedding.activation.set_mode(mode);
    balancer
}

/// When a target has an object that it loads.
#[derive(Clone, Copy, PartialEq)]
enum Loaded {
    AtStart,
    AtEnd,
}

/// Returns a balancer that has seen runs beside loads.
fn balancer_after_loads(loaded: Loaded) -> Balancer {
    let mut balancer = balancer(Mode::Always);
    let only = target("other", "z");
    let targets = [eligible(&only)];
    let took = match loaded {
        Loaded::AtStart => REPEAT_RUN,
        Loaded::AtEnd => FIRST_RUN,
    };
    for _ in 0..30 {
        let first = send(&mut balancer, "z", &targets, START).expect("target is idle");
        let mut trial = request("z");
        trial.queue_key.sequence = 0;
        let beside =
            send_request(&mut balancer, &trial, &targets, START).expect("runs beside it are tried");
        for (dispatch, took) in [(beside, took), (first, FIRST_RUN)] {
            balancer.record_response(&dispatch, None, START + took);
            balancer.record_completion(&dispatch);
        }
        balancer.reset_target("other");
    }
    balancer
}

fn send(
    balancer: &mut Balancer,
    object: &'static str,
    targets: &[EligibleTarget<'_>],
    now: Duration,
) -> Option<Dispatch> {
    send_request(balancer, &request(object), targets, now)
}

fn send_request(
    balancer: &mut Balancer,
    request: &PendingRequest<'_>,
    targets: &[EligibleTarget<'_>],
    now: Duration,
) -> Option<Dispatch> {
    match balancer.choose_target(request, targets, now) {
        Decision::Send(dispatch) => {
            balancer.record_dispatch(&dispatch, None, now);
            Some(dispatch)
        }
        Decision::Wait { .. } | Decision::Refuse { .. } => None,
    }
}

/// A run at the target.
struct Run {
    dispatch: Dispatch,
    object: &'static str,
    ends_at: Duration,
}

/// What came of requests that all arrived at one target.
#[derive(Default)]
struct Played {
    slot_time: Duration,
    ended_count: usize,
    /// Requests that did not run at once although a slot was free and their object being loaded.
    waited_count: usize,
}

/// Plays requests that arrive at given steps at a target without any object.
fn play(mut balancer: Balancer, loaded: Loaded, arrivals: &[(u64, usize)]) -> Played {
    let only = target("t", "z");
    let targets = [eligible(&only)];
    let mut played = Played::default();
    let mut waiting: Vec<&'static str> = Vec::new();
    let mut running: Vec<Run> = Vec::new();
    let mut cached: Vec<&'static str> = Vec::new();
    for step in 0..1_000_u64 {
        let now = START + ms(1_000 + step * STEP_MS);
        let (ended, left): (Vec<Run>, Vec<Run>) =
            running.into_iter().partition(|run| run.ends_at <= now);
        running = left;
        for run in ended {
            balancer.record_response(&run.dispatch, None, now);
            balancer.record_completion(&run.dispatch);
            cached.push(run.object);
            played.ended_count += 1;
        }
        let arrived = arrivals.iter().filter(|(at, _)| *at == step);
        waiting.extend(arrived.map(|(_, object)| OBJECTS[*object]));
        waiting.retain(|object| {
            let has_free_slot = running.len() < 4;
            let is_loading = running.iter().any(|run| run.object == *object);
            let Some(dispatch) = send(&mut balancer, object, &targets, now) else {
                played.waited_count += usize::from(has_free_slot && is_loading);
                return true;
            };
            let has_object = cached.contains(object) || (is_loading && loaded == Loaded::AtStart);
            let takes = if has_object { REPEAT_RUN } else { FIRST_RUN };
            played.slot_time += takes;
            running.push(Run {
                dispatch,
                object,
                ends_at: now + takes,
            });
            false
        });
    }
    played
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A crowd asks for objects that the target has only once it has loaded them.
    #[test]
    fn waiting_for_loads_takes_no_more_of_the_slots_and_all_requests_end(
        arrivals in prop::collection::vec((0_u64..100, 0_usize..OBJECTS.len()), 1..40),
    ) {
        let with_waits = play(balancer_after_loads(Loaded::AtEnd), Loaded::AtEnd, &arrivals);
        let as_before = play(balancer(Mode::Never), Loaded::AtEnd, &arrivals);

        prop_assert_eq!(with_waits.ended_count, arrivals.len());
        prop_assert!(with_waits.slot_time <= as_before.slot_time);
    }

    /// A crowd asks for objects that the target has from the start of the run that loads them.
    #[test]
    fn nobody_waits_where_runs_beside_a_load_are_short(
        arrivals in prop::collection::vec((0_u64..100, 0_usize..OBJECTS.len()), 1..40),
    ) {
        let played = play(balancer_after_loads(Loaded::AtStart), Loaded::AtStart, &arrivals);

        prop_assert_eq!(played.waited_count, 0);
        prop_assert_eq!(played.ended_count, arrivals.len());
    }
}

#[test]
fn request_for_another_object_takes_the_free_slot_beside_those_that_wait_for_a_load() {
    let only = target("t", "z");
    let targets = [eligible(&only)];
    let mut balancer = balancer_after_loads(Loaded::AtEnd);
    let cached = send(&mut balancer, "a", &targets, START).expect("target is idle");
    balancer.record_response(&cached, None, START + FIRST_RUN);
    balancer.record_completion(&cached);
    let now = START + FIRST_RUN;
    send(&mut balancer, "b", &targets, now).expect("slots are free");

    let during_load = send(&mut balancer, "b", &targets, now + ms(300));
    let awaits_load = balancer.awaits_load(&request("b"), "t", now + ms(300));
    let other = send(&mut balancer, "a", &targets, now + ms(300));

    assert!(during_load.is_none());
    assert!(awaits_load, "it needs no place in the queue");
    assert!(other.is_some());
}

#[test]
fn next_request_loads_the_object_after_a_run_that_failed() {
    let only = target("t", "z");
    let targets = [eligible(&only)];
    let mut balancer = balancer_after_loads(Loaded::AtEnd);
    let failed = send(&mut balancer, "a", &targets, START).expect("target is idle");
    let during_load = send(&mut balancer, "a", &targets, START + ms(300));

    balancer.record_completion(&failed);
    let next = send(&mut balancer, "a", &targets, START + ms(320));

    assert!(during_load.is_none());
    assert!(next.is_some());
}

#[test]
fn load_that_lasts_longer_than_expected_is_not_waited_for() {
    let only = target("t", "z");
    let targets = [eligible(&only)];
    let mut balancer = balancer_after_loads(Loaded::AtEnd);
    send(&mut balancer, "a", &targets, START).expect("target is idle");

    let second = send(&mut balancer, "a", &targets, START + FIRST_RUN * 2);

    assert!(second.is_some());
}

/// Slots are short, and the target's one first run is that of another object. A run beside the load of
/// an object that the target has by then takes no longer than others.
#[test]
fn run_beside_a_load_is_no_first_run_while_slots_are_short() {
    let only = target("t", "z");
    let targets = [eligible(&only)];
    let mut balancer = balancer_after_loads(Loaded::AtStart);
    let cached = send(&mut balancer, "a", &targets, START).expect("target is idle");
    balancer.record_response(&cached, None, START);
    balancer.record_completion(&cached);
    let running: Vec<Dispatch> = (0..4)
        .filter_map(|_| send(&mut balancer, "a", &targets, START))
        .collect();
    for _ in 0..5 {
        assert!(send(&mut balancer, "a", &targets, START).is_none());
    }
    for dispatch in &running {
        balancer.record_completion(dispatch);
    }

    let first_run = send(&mut balancer, "b", &targets, START);
    let other_first_run = send(&mut balancer, "c", &targets, START);
    let beside = send(&mut balancer, "b", &targets, START);

    assert!(first_run.is_some());
    assert!(other_first_run.is_none());
    assert!(beside.is_some());
}

#[test]
fn where_least_loss_is_not_in_force_nobody_waits_for_a_load() {
    let only = target("t", "z");
    let targets = [eligible(&only)];
    let mut balancer = balancer_after_loads(Loaded::AtEnd);
    balancer.shedding.activation.set_mode(Mode::Never);
    send(&mut balancer, "a", &targets, START).expect("target is idle");

    let second = send(&mut balancer, "a", &targets, START + ms(300));

    assert!(second.is_some());
}

#[test]
fn run_that_is_in_time_alone_does_not_wait_for_a_load_that_ends_later() {
    let times = LoadTimes {
        first_run_s: 0.3,
        repeat_run_s: 0.1,
        beside_s: 0.3,
        until_late_s: 0.4,
        time_left_s: 3.0,
    };

    let early = times.wait_s(ms(50));
    let late = times.wait_s(ms(150));

    assert_eq!(early, None, "0.25 s and a repeat run take longer");
    assert!(late.is_some_and(|wait_s| (wait_s - 0.15).abs() < 1e-9));
}

#[test]
fn request_that_would_pass_its_deadline_does_not_wait_for_a_load() {
    let times = LoadTimes {
        first_run_s: 1.0,
        repeat_run_s: 0.3,
        beside_s: 1.0,
        until_late_s: 0.4,
        time_left_s: 1.1,
    };

    assert_eq!(times.wait_s(ms(100)), None);
}
