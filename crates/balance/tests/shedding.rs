//! Load with too little room: what is refused or delayed, and when callers return.

mod fixtures;

use {
    balance::{
        Balancer, Decision, Dispatch, EligibleTarget, Locality, Mode, PendingRequest, QueueKey,
        shedding::{Refusal, ReturnReason, ReturnSchedule},
    },
    catalog::Target,
    fixtures::target,
    proptest::prelude::*,
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(100);
const OBJECTIVE: Duration = Duration::from_millis(400);
/// A caller honours a time to return of up to a third of its time left.
const HONOURED_PART: u32 = 3;
const TIME_LEFT: Duration = Duration::from_secs(3);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(object: &'static str, sequence: u64) -> PendingRequest<'static> {
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
            sequence,
        },
        caller_wait: Duration::ZERO,
        local_wait: Duration::ZERO,
        time_left: TIME_LEFT,
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

fn send(
    balancer: &mut Balancer,
    request: &PendingRequest<'_>,
    targets: &[EligibleTarget<'_>],
) -> Option<Dispatch> {
    match balancer.choose_target(request, targets, NOW) {
        Decision::Send(dispatch) => {
            balancer.record_dispatch(&dispatch, None, NOW);
            Some(dispatch)
        }
        Decision::Wait { .. } | Decision::Refuse { .. } => None,
    }
}

/// Returns a balancer whose only target, with four slots, has cached one object and lacks slots for
/// it, and the dispatches that run there.
fn balancer_with_shortage(mode: Mode, targets: &[EligibleTarget<'_>]) -> (Balancer, Vec<Dispatch>) {
    let mut balancer = balancer(mode);
    let first = send(&mut balancer, &request("cached", 0), targets).expect("target is idle");
    balancer.record_completion(&first);
    balancer.record_response(&first, None, NOW + ms(600));
    let running = (1..=4).filter_map(|n| send(&mut balancer, &request("cached", n), targets));
    let running = running.collect();
    for n in 5..10 {
        assert!(send(&mut balancer, &request("cached", n), targets).is_none());
    }
    (balancer, running)
}

fn end_all(balancer: &mut Balancer, running: &[Dispatch]) {
    for dispatch in running {
        balancer.record_completion(dispatch);
    }
}

/// Objects have moved to a target whose slots do not suffice for those that it has cached.
#[test]
fn late_first_runs_take_a_quarter_of_the_slots_while_slots_are_short() {
    let only = target("a", "z");
    let targets = [eligible(&only)];
    let (mut balancer, running) = balancer_with_shortage(Mode::Always, &targets);
    end_all(&mut balancer, &running);

    let objects = ["o1", "o2", "o3", "o4"];
    let sent = objects
        .into_iter()
        .filter_map(|object| send(&mut balancer, &request(object, 9), &targets));
    let first_runs = sent.count();
    let repeat_run = send(&mut balancer, &request("cached", 10), &targets);

    assert_eq!(first_runs, 1);
    assert!(repeat_run.is_some());
}

#[test]
fn late_first_run_is_refused_at_once_while_slots_are_short() {
    let only = target("a", "z");
    let targets = [eligible(&only)];
    let (mut balancer, running) = balancer_with_shortage(Mode::Always, &targets);
    balancer.record_completion(&running[0]);
    let admitted = send(&mut balancer, &request("o1", 9), &targets);

    let decision = balancer.choose_target(&request("o2", 10), &targets, NOW);

    assert!(admitted.is_some());
    assert!(matches!(decision, Decision::Refuse { .. }), "{decision:?}");
}

#[test]
fn first_runs_take_free_slots_again_when_the_shortage_is_over() {
    let only = target("a", "z");
    let targets = [eligible(&only)];
    let (mut balancer, running) = balancer_with_shortage(Mode::Always, &targets);
    end_all(&mut balancer, &running);
    send(&mut balancer, &request("o1", 9), &targets).expect("target is idle");

    let later = NOW + Duration::from_secs(2);
    let decision = balancer.choose_target(&request("o2", 10), &targets, later);

    assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
}

#[test]
fn one_request_without_a_slot_does_not_close_the_target_to_first_runs() {
    let only = target("a", "z");
    let targets = [eligible(&only)];
    let mut balancer = balancer(Mode::Always);
    let running: Vec<Dispatch> = (0..4)
        .filter_map(|n| send(&mut balancer, &request("cached", n), &targets))
        .collect();
    let blocked = send(&mut balancer, &request("cached", 5), &targets);
    end_all(&mut balancer, &running);

    let sent = ["o1", "o2"]
        .into_iter()
        .filter_map(|object| send(&mut balancer, &request(object, 9), &targets));

    assert!(blocked.is_none());
    assert_eq!(sent.count(), 2);
}

#[test]
fn without_the_setting_first_runs_take_free_slots() {
    let only = target("a", "z");
    let targets = [eligible(&only)];
    let (mut balancer, running) = balancer_with_shortage(Mode::Never, &targets);
    end_all(&mut balancer, &running);

    let sent = ["o1", "o2", "o3", "o4"]
        .into_iter()
        .filter_map(|object| send(&mut balancer, &request(object, 9), &targets));

    assert_eq!(sent.count(), 4);
}

/// Callers who came back late, beside those who can still be in time.
#[test]
fn late_request_leaves_the_last_free_slot_to_one_that_can_be_in_time() {
    let only = target("a", "z");
    let targets = [eligible(&only)];
    let mut balancer = balancer(Mode::Always);
    for n in 0..3 {
        send(&mut balancer, &request("1", n), &targets).expect("target has a free slot");
    }
    let mut late = request("1", 3);
    late.queue_key.is_late = true;

    let late_sent = send(&mut balancer, &late, &targets);
    let punctual_sent = send(&mut balancer, &request("1", 4), &targets);

    assert!(late_sent.is_none());
    assert!(punctual_sent.is_some());
}

#[test]
fn decisions_are_in_force_from_the_first_call_for_them_unless_ruled_out() {
    let mut automatic = balancer(Mode::Auto).shedding;
    let mut ruled_out = balancer(Mode::Never).shedding;

    let before = automatic.is_active();
    let begins = automatic.activation.call_for();
    let begins_again = automatic.activation.call_for();

    assert!(!before && begins && !begins_again && automatic.is_active());
    assert!(!ruled_out.activation.call_for() && !ruled_out.is_active());
}

/// Callers of one route state timeouts that differ by more than the objective.
#[test]
fn new_callers_with_different_timeouts_do_not_pass_for_late_ones() {
    let mut balancer = balancer(Mode::Always);
    let mut estimate = |ms_left| balancer.estimate_caller_wait("r", OBJECTIVE, ms(ms_left)).1;
    let new_callers = |n: u64| 2550 + (n * 7919) % 450;
    for n in 0..400 {
        estimate(new_callers(n));
    }

    let late = (400..800).filter(|&n| estimate(new_callers(n))).count();
    let returned_is_late = estimate(2550 - 500);

    assert_eq!(late, 0);
    assert!(returned_is_late);
}

/// A single caller that would wait for a quarter of an hour, before the usual ones.
#[test]
fn caller_with_a_far_longer_timeout_does_not_make_all_others_late() {
    let mut balancer = balancer(Mode::Always);
    let mut estimate = |ms_left| balancer.estimate_caller_wait("r", OBJECTIVE, ms(ms_left)).1;
    estimate(900_000);
    for _ in 0..100 {
        estimate(3000);
    }

    let late = (0..100).filter(|_| estimate(3000)).count();
    let returned_is_late = estimate(2000);

    assert_eq!(late, 0);
    assert!(returned_is_late);
}

fn late_request(sequence: u64) -> PendingRequest<'static> {
    let mut late = request("cached", sequence);
    late.queue_key.is_late = true;
    late.caller_wait = OBJECTIVE;
    late
}

/// All requests of a route whose runs take longer than its objective are late.
#[test]
fn slots_are_not_kept_free_where_no_request_can_be_in_time() {
    let only = target("a", "z");
    let targets = [eligible(&only)];
    let mut balancer = balancer(Mode::Always);
    let first = send(&mut balancer, &late_request(0), &targets).expect("target is idle");
    balancer.record_completion(&first);
    balancer.record_response(&first, None, NOW + ms(600));

    let sent = (1..10)
        .filter_map(|n| send(&mut balancer, &late_request(n), &targets))
        .count();

    assert_eq!(sent, 4);
}

fn refusal(priority: u32, had_free_slots: bool) -> Refusal {
    Refusal {
        priority,
        had_free_slots,
        expected_wait: ms(50),
        time_left: TIME_LEFT,
    }
}

/// Returns a schedule of a service that answers `completions` requests and gets `arrivals` new
/// ones a second, for five seconds up to `NOW`.
fn schedule(completions: u64, arrivals: u64) -> ReturnSchedule {
    let mut schedule = ReturnSchedule::default();
    let start = NOW.saturating_sub(Duration::from_secs(5));
    for n in 0..5 * completions {
        schedule.record_completion(start + ms(1000 * n / completions));
    }
    for n in 0..5 * arrivals {
        schedule.record_arrival(start + ms(1000 * n / arrivals));
    }
    schedule
}

#[test]
fn caller_declined_by_a_target_with_free_slots_may_return_at_once() {
    let mut schedule = schedule(10, 100);

    let planned = schedule.plan(&refusal(0, true), NOW);

    assert_eq!(planned.after, Duration::ZERO);
    assert_eq!(planned.reason, ReturnReason::FreeSlots);
}

#[test]
fn vm_that_has_just_started_states_the_expected_wait() {
    let mut schedule = ReturnSchedule::default();

    let planned = schedule.plan(&refusal(0, false), NOW);

    assert_eq!(planned.after, ms(50));
}

#[test]
fn no_return_is_planned_past_the_time_that_callers_honour() {
    let mut schedule = schedule(4, 100);

    let planned: Vec<_> = (0..100)
        .map(|_| schedule.plan(&refusal(0, false), NOW))
        .collect();

    let latest = TIME_LEFT / HONOURED_PART;
    assert!(planned.iter().all(|planned| planned.after <= latest));
    assert_eq!(planned[99].reason, ReturnReason::NoRoom);
}

/// A service whose targets all failed for some seconds, and then answer again.
#[test]
fn room_after_a_time_without_answers_is_offered_to_callers() {
    for quiet_s in [5, 10, 60, 600] {
        let mut schedule = schedule(20, 0);
        let failed_until = NOW + Duration::from_secs(quiet_s);
        schedule.plan(&refusal(0, false), failed_until);
        for n in 0..40 {
            schedule.record_completion(failed_until + ms(50 * n));
        }

        let planned = schedule.plan(&refusal(0, false), failed_until + ms(2000));

        assert_eq!(planned.reason, ReturnReason::Room, "after {quiet_s} s");
        assert_eq!(planned.after, ms(50), "after {quiet_s} s");
    }
}

proptest! {
    /// A shortage, in which repeat runs end at any time.
    #[test]
    fn free_slot_is_given_to_a_request_that_can_be_in_time(ended in 0_usize..4) {
        let only = target("a", "z");
        let targets = [eligible(&only)];
        let (mut balancer, running) = balancer_with_shortage(Mode::Always, &targets);
        end_all(&mut balancer, &running[..ended]);

        let sent = (20..30)
            .filter_map(|n| send(&mut balancer, &request("cached", n), &targets))
            .count();

        prop_assert_eq!(sent, ended);
    }

    /// A burst: of those told that there is room, no more return in any time than it has room for.
    #[test]
    fn returns_in_any_interval_do_not_exceed_the_expected_room(
        completions in 4_u64..200,
        arrivals in 1_u64..400,
        refused in 1_usize..200,
    ) {
        let mut schedule = schedule(completions, arrivals);

        let planned = (0..refused).map(|_| schedule.plan(&refusal(0, false), NOW));
        let returns: Vec<Duration> = planned
            .filter(|planned| planned.reason == ReturnReason::Room)
            .map(|planned| planned.after)
            .collect();

        let window = ms(200);
        // What is completed in the window, and the one at its edge.
        let room = completions / 5 + 1;
        for start in &returns {
            let due = returns.iter().filter(|at| (*start..*start + window).contains(at));
            prop_assert!(u64::try_from(due.count()).unwrap_or(u64::MAX) <= room);
        }
    }

    #[test]
    fn more_urgent_callers_are_not_told_to_return_later_than_less_urgent_ones(
        completions in 4_u64..200,
        urgent_first in any::<bool>(),
        refused in 1_usize..60,
    ) {
        let mut schedule = schedule(completions, 100);
        // The schedule has seen both priorities.
        schedule.plan(&refusal(0, false), NOW);
        for _ in 0..refused {
            schedule.plan(&refusal(2, false), NOW);
        }

        let (urgent, other) = if urgent_first {
            let urgent = schedule.plan(&refusal(0, false), NOW);
            (urgent, schedule.plan(&refusal(2, false), NOW))
        } else {
            let other = schedule.plan(&refusal(2, false), NOW);
            (schedule.plan(&refusal(0, false), NOW), other)
        };

        prop_assert!(urgent.after <= other.after);
    }
}
