//! Slots, classes, caps and health of one pool.

use {
    std::time::Duration,
    steer::{Admission, Class, Completion, Grant, Pool, RateLimits, SlotRequest},
    wire::Reason,
};

const START: Duration = Duration::from_secs(10);

fn pool() -> Pool {
    Pool::new("luzon", &[("a", 4), ("b", 4)])
}

fn slot_request(ticket: u64, class: Class, origin: &str, now: Duration) -> SlotRequest<'_> {
    SlotRequest {
        ticket,
        class,
        deadline: now + Duration::from_secs(2),
        origin,
        avoid_target: None,
        max_wait: Duration::MAX,
    }
}

fn fill(pool: &mut Pool, class: Class, count: u64, now: Duration) -> Vec<Grant> {
    for ticket in 0..count {
        pool.enqueue(&slot_request(ticket, class, "luzon", now), now);
    }
    std::iter::from_fn(|| pool.grant_next(now)).collect()
}

#[test]
fn no_target_gets_more_than_its_slots() {
    let mut pool = pool();

    let grants = fill(&mut pool, Class::Idempotent, 20, START);

    assert_eq!(grants.len(), 8);
    for target in 0..2 {
        assert_eq!(
            grants.iter().filter(|grant| grant.target == target).count(),
            4
        );
    }
}

#[test]
fn overload_is_refused_with_a_time_to_come_back() {
    let mut pool = pool();

    let mut refused = None;
    for ticket in 0..1000 {
        let verdict = pool.enqueue(
            &slot_request(ticket, Class::Idempotent, "luzon", START),
            START,
        );
        if verdict != Admission::Queued {
            refused = Some(verdict);
            break;
        }
    }

    let Some(Admission::Refused {
        reason,
        retry_after,
    }) = refused
    else {
        panic!("nothing was refused");
    };
    assert_eq!(reason, Reason::Overloaded);
    assert!(retry_after > Duration::ZERO);
}

#[test]
fn each_class_is_sure_of_half_of_the_slots() {
    let mut pool = pool();
    let grants = fill(&mut pool, Class::Idempotent, 30, START);
    for ticket in 100..110 {
        pool.enqueue(
            &slot_request(ticket, Class::NonIdempotent, "luzon", START),
            START,
        );
    }

    let mut once = 0;
    for grant in &grants {
        pool.release(
            grant,
            Completion::Answered(Duration::from_millis(50)),
            START,
        );
        while let Some(next) = pool.grant_next(START) {
            once += u32::from(next.class == Class::NonIdempotent);
        }
    }

    assert_eq!(once, 4);
}

#[test]
fn one_class_may_use_all_slots_when_the_other_is_idle() {
    let mut pool = pool();

    let grants = fill(&mut pool, Class::NonIdempotent, 20, START);

    assert_eq!(grants.len(), 8);
}

#[test]
fn no_second_sees_more_than_the_shift_cap() {
    let mut pool = pool();
    let limits = RateLimits {
        shift_per_s: Some(10),
        ..RateLimits::default()
    };
    pool.set_rate_limits(&limits);
    let mut dispatched = Vec::new();

    for step in 0..400_u64 {
        let now = START + Duration::from_millis(step * 10);
        pool.enqueue(&slot_request(step, Class::Idempotent, "visayas", now), now);
        while let Some(grant) = pool.grant_next(now) {
            dispatched.push(now);
            pool.release(&grant, Completion::Answered(Duration::from_millis(1)), now);
        }
    }

    for start in &dispatched {
        let second = dispatched
            .iter()
            .filter(|at| **at >= *start && **at < *start + Duration::from_secs(1));
        assert!(second.count() <= 10);
    }
    assert!(dispatched.len() >= 32, "{}", dispatched.len());
}

#[test]
fn shift_cap_does_not_bind_callers_of_the_own_region() {
    let mut pool = pool();
    let limits = RateLimits {
        shift_per_s: Some(0),
        ..RateLimits::default()
    };
    pool.set_rate_limits(&limits);

    let grants = fill(&mut pool, Class::Idempotent, 4, START);

    assert_eq!(grants.len(), 4);
}

#[test]
fn leaving_target_gets_nothing_and_comes_back_cold() {
    let mut pool = pool();
    pool.set_leaving(0, true, START);

    let while_leaving = fill(&mut pool, Class::Idempotent, 10, START);
    pool.set_leaving(0, false, START);
    let back = std::iter::from_fn(|| pool.grant_next(START)).count();

    assert!(while_leaving.iter().all(|grant| grant.target == 1));
    assert_eq!(back, 1);
}

#[test]
fn failing_target_is_ejected_but_never_more_than_half() {
    let mut pool = pool();
    let grants = fill(&mut pool, Class::Idempotent, 8, START);

    for grant in &grants {
        pool.release(grant, Completion::Failed, START);
    }

    let ejected = pool
        .snapshot(START)
        .targets
        .iter()
        .filter(|target| target.ejected)
        .count();
    assert_eq!(ejected, 1);
}

#[test]
fn request_that_cannot_be_answered_in_time_leaves_the_queue() {
    let mut pool = pool();
    fill(&mut pool, Class::Idempotent, 9, START);

    let late = pool.remove_expired(START + Duration::from_millis(1990));

    assert_eq!(late, vec![8]);
}

#[test]
fn retry_avoids_the_target_that_failed_while_another_can_be_had() {
    let mut pool = pool();
    let avoiding = SlotRequest {
        avoid_target: Some(0),
        ..slot_request(1, Class::Idempotent, "luzon", START)
    };
    pool.enqueue(&avoiding, START);

    let grant = pool.grant_next(START).unwrap();

    assert_eq!(grant.target, 1);
}
