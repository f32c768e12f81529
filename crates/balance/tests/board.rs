//! Where work goes: load patterns against the pure decisions.

use {
    balance::{
        Affinity, Balancer, Decision, Dispatch, EligibleTarget, LoadReport, Locality,
        PendingRequest, QueueKey,
    },
    catalog::{State, Target},
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(10);
const OBJECTIVE: Duration = Duration::from_millis(600);

fn target(id: &str, zone: &str) -> Target {
    Target {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: zone.to_owned(),
        slots: 4,
        state: State::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}

fn place(target: &Target, distance: Locality) -> EligibleTarget<'_> {
    EligibleTarget {
        target,
        locality: distance,
        round_trip: Duration::from_millis(1),
        is_cold: false,
        has_remote_queue: false,
        is_fallback: false,
    }
}

fn wish(object: &str, priority: u32, number: u64) -> PendingRequest<'_> {
    PendingRequest {
        route: "r",
        service: "s",
        objective: OBJECTIVE,
        object: Some(object),
        id: "id",
        queue_key: QueueKey {
            priority,
            is_late: false,
            sequence: number,
        },
        caller_wait: Duration::ZERO,
        local_wait: Duration::ZERO,
        time_left: Duration::from_secs(4),
    }
}

fn send(
    board: &mut Balancer,
    wish: &PendingRequest<'_>,
    places: &[EligibleTarget<'_>],
) -> Option<Dispatch> {
    match board.choose_target(wish, places, NOW) {
        Decision::Send(sent) => {
            board.record_dispatch(&sent, None, NOW);
            Some(sent)
        }
        Decision::Wait { .. } | Decision::Refuse { .. } => None,
    }
}

/// A target that was full, with one slot free again and one request that waits for it.
fn one_free_slot(places: &[EligibleTarget<'_>], waiting: QueueKey) -> Balancer {
    let mut board = Balancer::default();
    let sent: Vec<Dispatch> = (0..4)
        .filter_map(|n| send(&mut board, &wish("1", 2, n), places))
        .collect();
    board.queues.enqueue("a", waiting);
    board.record_completion(&sent[0]);
    board
}

/// Pattern: the same objects come again and again while there is room.
#[test]
fn object_stays_with_its_target() {
    let targets = [target("a", "z"), target("b", "z"), target("c", "z")];
    let places: Vec<EligibleTarget<'_>> = targets
        .iter()
        .map(|t| place(t, Locality::SameZone))
        .collect();
    let mut board = Balancer::default();

    for object in ["1", "2", "3", "4", "5"] {
        let first = send(&mut board, &wish(object, 0, 1), &places).expect("room");
        board.record_completion(&first);
        board.record_response(&first, None, NOW + Duration::from_millis(700));
        let again = send(&mut board, &wish(object, 0, 2), &places).expect("room");
        board.record_completion(&again);

        assert_eq!(again.target, first.target);
        assert_eq!(again.affinity, Affinity::Known);
    }
}

/// Pattern: overload. A target is given no more than its slots; the rest waits or is
/// refused at once with a time to come back.
#[test]
fn target_is_never_given_more_than_its_slots() {
    let only = target("a", "z");
    let places = [place(&only, Locality::SameZone)];
    let mut board = Balancer::default();

    let sent = (0..50).filter(|&n| send(&mut board, &wish("1", 0, n), &places).is_some());

    assert_eq!(sent.count(), 4);
}

#[test]
fn long_queue_refuses_with_the_wait_as_the_time_to_come_back() {
    let only = target("a", "z");
    let places = [place(&only, Locality::SameZone)];
    let mut board = Balancer::default();
    while send(&mut board, &wish("1", 0, 0), &places).is_some() {}
    for number in 0..40 {
        board.queues.enqueue(
            "a",
            QueueKey {
                priority: 0,
                is_late: false,
                sequence: number,
            },
        );
    }

    let decision = board.choose_target(&wish("1", 0, 99), &places, NOW);

    let Decision::Refuse { retry_after: after } = decision else {
        panic!("not refused: {decision:?}");
    };
    assert!(after >= OBJECTIVE, "{after:?}");
}

/// Pattern: urgent work arrives behind a queue of less urgent work.
#[test]
fn urgent_work_goes_before_what_waits() {
    let only = target("a", "z");
    let places = [place(&only, Locality::SameZone)];
    let waiting = QueueKey {
        priority: 2,
        is_late: false,
        sequence: 5,
    };
    let mut board = one_free_slot(&places, waiting);

    let later = board.choose_target(&wish("1", 2, 6), &places, NOW);
    let urgent = board.choose_target(&wish("1", 0, 7), &places, NOW);

    assert!(matches!(later, Decision::Wait { .. }), "{later:?}");
    assert!(matches!(urgent, Decision::Send(_)), "{urgent:?}");
}

/// Pattern: long, less urgent work beside much urgent work in one service.
#[test]
fn a_slot_stays_free_for_urgent_work_where_there_is_much() {
    let only = target("a", "z");
    let places = [place(&only, Locality::SameZone)];
    let mut board = Balancer::default();
    for _ in 0..200 {
        board.priority_reserve.record("s", 0);
    }

    let less = (0..10).filter(|&n| send(&mut board, &wish("1", 2, n), &places).is_some());
    assert_eq!(less.count(), 3);

    assert!(send(&mut board, &wish("1", 0, 99), &places).is_some());
}

/// Pattern: one region has few targets for its callers, and is crowded. Where an object
/// runs does not follow the crowd: no request changes its region for it, in any window.
#[test]
fn no_object_changes_its_region_in_a_crowd() {
    let near: Vec<Target> = (0..2).map(|n| target(&format!("n{n}"), "z")).collect();
    let far: Vec<Target> = (0..8).map(|n| target(&format!("f{n}"), "y")).collect();
    let mut places: Vec<EligibleTarget<'_>> =
        near.iter().map(|t| place(t, Locality::SameZone)).collect();
    places.extend(far.iter().map(|t| place(t, Locality::OtherRegion)));
    let mut board = Balancer::default();
    let region = |board: &mut Balancer, object: &str| match board.choose_target(
        &wish(object, 0, 1),
        &places,
        NOW,
    ) {
        Decision::Send(sent) => Some(sent.locality == Locality::OtherRegion),
        Decision::Wait { target } => Some(target.starts_with('f')),
        Decision::Refuse { .. } => None,
    };
    let objects: Vec<String> = (0..200).map(|n| n.to_string()).collect();
    let before: Vec<Option<bool>> = objects.iter().map(|o| region(&mut board, o)).collect();

    for target in &near {
        let full = LoadReport {
            running: 4,
            waiting: 12,
            slots: 4,
        };
        board.record_rejection(&target.id, Some(full), NOW);
    }
    let after: Vec<Option<bool>> = objects.iter().map(|o| region(&mut board, o)).collect();

    let changed = before
        .iter()
        .zip(&after)
        .filter(|(a, b)| b.is_some() && a != b);
    assert_eq!(changed.count(), 0);
    let away = before.iter().filter(|far| **far == Some(true)).count();
    assert!(
        (100..190).contains(&away),
        "in the parts of the targets: {away}"
    );
}

#[test]
fn object_leaves_its_region_when_nothing_is_left_there() {
    let far = target("f", "y");
    let places = [place(&far, Locality::OtherRegion)];
    let mut board = Balancer::default();

    let sent = send(&mut board, &wish("1", 0, 1), &places);

    assert_eq!(sent.map(|sent| sent.target).as_deref(), Some("f"));
}

#[test]
fn target_that_started_anew_knows_nothing() {
    let targets = [target("a", "z"), target("b", "z")];
    let places: Vec<EligibleTarget<'_>> = targets
        .iter()
        .map(|t| place(t, Locality::SameRegion))
        .collect();
    let mut board = Balancer::default();
    let first = send(&mut board, &wish("1", 0, 1), &places).expect("room");
    board.record_completion(&first);
    board.record_response(&first, None, NOW);

    board.reset_target(&first.target);
    let again = send(&mut board, &wish("1", 0, 2), &places).expect("room");

    assert_ne!(again.affinity, Affinity::Known);
}

/// Pattern: a crowd at the only near target makes every request there long. Work still
/// counts as fit for another region, where there is no crowd; otherwise all of it would
/// stay in the crowd and feed it.
#[test]
fn crowd_near_by_does_not_keep_work_from_another_region() {
    let near = target("n", "z");
    let far: Vec<Target> = (0..4).map(|n| target(&format!("f{n}"), "y")).collect();
    let mut places = vec![place(&near, Locality::SameZone)];
    places.extend(far.iter().map(|t| place(t, Locality::OtherRegion)));
    let mut board = Balancer::default();
    let run = |board: &mut Balancer, at: Duration, ran: u64| {
        let only = [place(&near, Locality::SameZone)];
        let sent = match board.choose_target(&wish("1", 0, 1), &only, at) {
            Decision::Send(sent) => sent,
            other => panic!("{other:?}"),
        };
        board.record_response(&sent, None, at + Duration::from_millis(ran));
    };
    for step in 0..20 {
        run(&mut board, NOW + Duration::from_secs(1) * step, 180);
    }
    for step in 20..60 {
        run(&mut board, NOW + Duration::from_secs(1) * step, 900);
    }

    let objects: Vec<String> = (0..20).map(|n| n.to_string()).collect();
    let moved = objects.iter().filter(|object| {
        let decision =
            board.choose_target(&wish(object, 0, 1), &places, NOW + Duration::from_secs(65));
        matches!(decision, Decision::Send(sent) if sent.locality == Locality::OtherRegion)
    });

    assert!(moved.count() > 10);
}

/// Pattern: overload with callers who were refused and come back. They can no longer be in
/// time, so one that still can goes first.
#[test]
fn caller_who_can_be_in_time_goes_before_one_who_came_back() {
    let only = target("a", "z");
    let places = [place(&only, Locality::SameZone)];
    let waiting = QueueKey {
        priority: 2,
        is_late: true,
        sequence: 5,
    };
    let mut board = one_free_slot(&places, waiting);

    let fresh = board.choose_target(&wish("1", 2, 6), &places, NOW);

    assert!(matches!(fresh, Decision::Send(_)), "{fresh:?}");
}

#[test]
fn time_that_a_caller_grants_tells_when_it_asked_first() {
    let mut board = Balancer::default();
    let granted = |ms| Duration::from_millis(ms);

    let first = board.estimate_caller_wait("r", OBJECTIVE, granted(4000));
    let again = board.estimate_caller_wait("r", OBJECTIVE, granted(3300));

    assert_eq!(first, (Duration::ZERO, false));
    assert!(again.0 > Duration::from_millis(690) && again.1, "{again:?}");
}

/// Pattern: a crowd whose objects, if they could go anywhere, would each become known to
/// all targets in turn, and drive each other out of the targets' memory.
#[test]
fn objects_of_a_crowd_keep_to_two_targets_each() {
    let ids = ["a", "b", "c", "d", "e", "f"];
    let targets = ids.map(|id| target(id, "z"));
    let places: Vec<EligibleTarget<'_>> = targets
        .iter()
        .map(|t| place(t, Locality::SameZone))
        .collect();
    let mut board = Balancer::default();

    let mut used: Vec<String> = Vec::new();
    for number in 0..100 {
        let wish = wish("1", 0, number);
        match board.choose_target(&wish, &places, NOW) {
            Decision::Send(sent) => {
                board.record_dispatch(&sent, None, NOW);
                used.push(sent.target);
            }
            Decision::Wait { target } => board.queues.enqueue(&target, wish.queue_key),
            Decision::Refuse { .. } => {}
        }
    }
    used.sort();
    used.dedup();

    assert_eq!(used.len(), 2, "{used:?}");
}

/// Pattern: a standing queue at a target that other VMs fill. This VM has little there and
/// hears of the queue only by its own answers, which take as long as the queue.
#[test]
fn standing_queue_of_others_is_remembered_as_long_as_it_takes_to_drain() {
    let only = target("a", "z");
    let places = [place(&only, Locality::SameZone)];
    let mut board = Balancer::default();
    let stay = Duration::from_millis(1500);
    let queue = LoadReport {
        running: 4,
        waiting: 10,
        slots: 4,
    };

    let mut now = NOW;
    for number in 0..10 {
        if let Decision::Send(sent) = board.choose_target(&wish("1", 0, number), &places, now) {
            board.record_dispatch(&sent, None, now);
            board.record_completion(&sent);
            board.record_response(&sent, Some(queue), now + stay);
        }
        now += stay;
    }
    let soon = now + Duration::from_millis(600);
    let decision = board.choose_target(&wish("1", 0, 11), &places, soon);

    assert!(!matches!(decision, Decision::Send(_)), "{decision:?}");
}

/// Pattern: another VM keeps the target's queue. It knows better who waits, so what this VM
/// believes holds nothing back.
#[test]
fn target_whose_queue_another_vm_keeps_is_never_waited_for_here() {
    let only = target("a", "z");
    let kept = [EligibleTarget {
        has_remote_queue: true,
        ..place(&only, Locality::SameZone)
    }];
    let mut board = Balancer::default();

    let sent = (0..50).filter(|&n| send(&mut board, &wish("1", 0, n), &kept).is_some());

    assert_eq!(sent.count(), 50);
}

/// Pattern: an object comes to its second target, which does not know it, by another VM's
/// choice: alone among the places it would look like the first.
#[test]
fn object_at_its_second_target_is_not_taken_for_known() {
    let only = target("a", "z");
    let second = [EligibleTarget {
        is_fallback: true,
        ..place(&only, Locality::SameZone)
    }];
    let mut board = Balancer::default();

    let sent = send(&mut board, &wish("1", 0, 0), &second).expect("room");

    assert_eq!(sent.affinity, Affinity::Unknown);
}

/// Pattern: a queue at the VM that keeps it. Other VMs are told of it with each answer.
#[test]
fn load_that_is_told_counts_the_requests_that_wait() {
    let only = target("a", "z");
    let places = [place(&only, Locality::SameZone)];
    let mut board = Balancer::default();
    while send(&mut board, &wish("1", 0, 0), &places).is_some() {}
    for number in 1..4 {
        board.queues.enqueue("a", wish("1", 0, number).queue_key);
    }

    let load = board.load_report("a", 4, NOW);

    assert_eq!((load.running, load.waiting, load.slots), (4, 3, 4));
}
