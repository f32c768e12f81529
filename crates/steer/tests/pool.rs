//! Slots, request classes, rate caps and target health of one pool.

use {
    std::time::Duration,
    steer::{Admission, Completion, Grant, Pool, RateLimits, RequestClass, SlotRequest},
    wire::Reason,
};

const START: Duration = Duration::from_secs(10);

fn pool() -> Pool {
    Pool::new("luzon", &[("a", 4), ("b", 4)])
}

fn slot_request(ticket: u64, class: RequestClass, origin: &str, now: Duration) -> SlotRequest<'_> {
    SlotRequest {
        ticket,
        class,
        deadline: now + Duration::from_secs(2),
        origin,
        avoid_target: None,
        max_wait: Duration::MAX,
    }
}

/// Enqueues `count` requests of the pool's own region and returns the slots they get.
fn enqueue_and_grant(
    pool: &mut Pool,
    class: RequestClass,
    count: u64,
    now: Duration,
) -> Vec<Grant> {
    for ticket in 0..count {
        pool.enqueue(&slot_request(ticket, class, "luzon", now), now);
    }
    std::iter::from_fn(|| pool.grant_next(now)).collect()
}

#[test]
fn targets_never_get_more_requests_than_slots() {
    let mut pool = pool();

    let grants = enqueue_and_grant(&mut pool, RequestClass::Idempotent, 20, START);

    assert_eq!(grants.len(), 8);
    for target in 0..2 {
        assert_eq!(
            grants.iter().filter(|grant| grant.target == target).count(),
            4
        );
    }
}

#[test]
fn overloaded_pool_refuses_with_a_retry_time() {
    let mut pool = pool();

    let mut refused = None;
    for ticket in 0..1000 {
        let admission = pool.enqueue(
            &slot_request(ticket, RequestClass::Idempotent, "luzon", START),
            START,
        );
        if admission != Admission::Queued {
            refused = Some(admission);
            break;
        }
    }

    let Some(Admission::Refused {
        reason,
        retry_after,
    }) = refused
    else {
        panic!("the pool admitted every request");
    };
    assert_eq!(reason, Reason::Overloaded);
    assert!(retry_after > Duration::ZERO);
}

#[test]
fn class_gets_half_of_the_slots_when_both_are_waiting() {
    let mut pool = pool();
    let grants = enqueue_and_grant(&mut pool, RequestClass::Idempotent, 30, START);
    for ticket in 100..110 {
        pool.enqueue(
            &slot_request(ticket, RequestClass::NonIdempotent, "luzon", START),
            START,
        );
    }

    let mut non_idempotent = 0;
    for grant in &grants {
        pool.release(
            grant,
            Completion::Answered(Duration::from_millis(50)),
            START,
        );
        while let Some(next) = pool.grant_next(START) {
            non_idempotent += u32::from(next.class == RequestClass::NonIdempotent);
        }
    }

    assert_eq!(non_idempotent, 4);
}

#[test]
fn class_gets_all_slots_when_the_other_is_idle() {
    let mut pool = pool();

    let grants = enqueue_and_grant(&mut pool, RequestClass::NonIdempotent, 20, START);

    assert_eq!(grants.len(), 8);
}

#[test]
fn shift_cap_holds_in_every_second() {
    let mut pool = pool();
    let limits = RateLimits {
        shift_per_s: Some(10),
        ..RateLimits::default()
    };
    pool.set_rate_limits(&limits);
    let mut dispatched = Vec::new();

    for step in 0..400_u64 {
        let now = START + Duration::from_millis(step * 10);
        pool.enqueue(
            &slot_request(step, RequestClass::Idempotent, "visayas", now),
            now,
        );
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
fn shift_cap_does_not_apply_to_callers_in_the_same_region() {
    let mut pool = pool();
    let limits = RateLimits {
        shift_per_s: Some(0),
        ..RateLimits::default()
    };
    pool.set_rate_limits(&limits);

    let grants = enqueue_and_grant(&mut pool, RequestClass::Idempotent, 4, START);

    assert_eq!(grants.len(), 4);
}

#[test]
fn leaving_target_gets_no_requests_and_restarts_with_one_slot() {
    let mut pool = pool();
    pool.set_leaving(0, true, START);

    let while_leaving = enqueue_and_grant(&mut pool, RequestClass::Idempotent, 10, START);
    pool.set_leaving(0, false, START);
    let granted_after_return = std::iter::from_fn(|| pool.grant_next(START)).count();

    assert!(while_leaving.iter().all(|grant| grant.target == 1));
    assert_eq!(granted_after_return, 1);
}

#[test]
fn failing_targets_are_ejected_up_to_half_of_the_pool() {
    let mut pool = pool();
    let grants = enqueue_and_grant(&mut pool, RequestClass::Idempotent, 8, START);

    for grant in &grants {
        pool.release(grant, Completion::Failed, START);
    }

    let ejected = pool
        .snapshot(START)
        .targets
        .iter()
        .filter(|target| target.is_ejected)
        .count();
    assert_eq!(ejected, 1);
}

#[test]
fn request_that_would_miss_its_deadline_is_removed_from_the_queue() {
    let mut pool = pool();
    enqueue_and_grant(&mut pool, RequestClass::Idempotent, 9, START);

    let expired = pool.remove_expired(START + Duration::from_millis(1990));

    assert_eq!(expired, vec![8]);
}

#[test]
fn retry_goes_to_another_target_when_one_is_usable() {
    let mut pool = pool();
    let retry = SlotRequest {
        avoid_target: Some(0),
        ..slot_request(1, RequestClass::Idempotent, "luzon", START)
    };
    pool.enqueue(&retry, START);

    let grant = pool.grant_next(START).unwrap();

    assert_eq!(grant.target, 1);
}
