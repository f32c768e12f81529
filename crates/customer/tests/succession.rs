//! Handovers of customers from one owner to the next, and whom a VM asks meanwhile.

use {
    customer::{
        RateLimit,
        quota::{
            Allowances, Entitlement, Fleet, Grant, Grantor, Handover, Query, Refusal, Rule, Stance,
            Step,
        },
    },
    std::time::Duration,
};

const CUSTOMER: &str = "c";
const SUCCESSOR: &str = "10.0.0.2:7200";
const RULE: Rule = Rule {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};
/// 60 requests in a window.
const ENTITLEMENT: Entitlement = Entitlement {
    limit: RateLimit {
        requests_per_s: 10.0,
        burst: 10.0,
    },
    version: 1,
};
const FLEET: Fleet = Fleet {
    generation: 1,
    alive: 3,
    known: Some(3),
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn observe(grantor: &mut Grantor, generation: u64, is_owner: bool, ms: u64) {
    let fleet = Fleet {
        generation,
        ..FLEET
    };
    grantor.observe(fleet, &RULE, |_| is_owner, at(ms));
}

fn stance(grantor: &mut Grantor, ms: u64) -> Stance {
    grantor.stance(CUSTOMER, ENTITLEMENT, &RULE, true, at(ms))
}

fn grant(grantor: &mut Grantor, wanted: u32, ms: u64) -> u32 {
    let grant = grantor.grant(CUSTOMER, ENTITLEMENT, wanted, &RULE, true, at(ms));
    grant.tokens
}

fn hand_over(grantor: &mut Grantor, ms: u64) -> Handover {
    grantor.hand_over(CUSTOMER, SUCCESSOR, &RULE, true, at(ms))
}

fn take_over(grantor: &mut Grantor, handover: &Handover, ms: u64) {
    grantor.take_over(CUSTOMER, ENTITLEMENT, handover, &RULE, at(ms));
}

/// Returns a VM that has been the owner for 20 s and then gave out `tokens`.
fn settled_owner(tokens: u32) -> Grantor {
    let mut grantor = Grantor::new(at(0));
    for ms in (0..20_000).step_by(500) {
        observe(&mut grantor, 1, true, ms);
    }
    assert_eq!(grant(&mut grantor, tokens, 19_900), tokens);
    grantor
}

/// Returns a VM that has started just now and owns the customer.
fn new_owner(ms: u64) -> Grantor {
    let mut grantor = Grantor::new(at(ms));
    observe(&mut grantor, 1, true, ms);
    grantor
}

#[test]
fn new_owner_asks_the_one_before_first_and_goes_on_without_an_answer() {
    let mut grantor = new_owner(20_000);

    assert_eq!(stance(&mut grantor, 20_000), Stance::Claim);
    assert_eq!(stance(&mut grantor, 20_020), Stance::Wait(at(40)));
    assert_eq!(stance(&mut grantor, 20_060), Stance::Claim);
    assert_eq!(stance(&mut grantor, 20_120), Stance::Grant);
    assert_eq!(grant(&mut grantor, 1, 20_120), 1);
}

#[test]
fn new_owner_without_another_vm_answers_at_once() {
    let mut grantor = new_owner(20_000);
    assert_eq!(stance(&mut grantor, 20_000), Stance::Claim);

    grantor.give_up_claim(CUSTOMER);

    assert_eq!(stance(&mut grantor, 20_000), Stance::Grant);
}

#[test]
fn settled_owner_claims_nothing() {
    let mut grantor = settled_owner(1);

    assert_eq!(stance(&mut grantor, 19_950), Stance::Grant);
}

#[test]
fn tokens_of_the_owner_before_count_until_they_expire() {
    let mut before = settled_owner(10);
    let mut after = new_owner(20_000);
    stance(&mut after, 20_000);

    let handover = hand_over(&mut before, 20_000);
    take_over(&mut after, &handover, 20_010);

    assert_eq!(stance(&mut after, 20_010), Stance::Grant);
    // The burst is used up, and the bucket refills by one token in 100 ms.
    assert_eq!(grant(&mut after, 10, 20_010), 0);
    assert_eq!(grant(&mut after, 10, 20_120), 1);
    let usages = after.usages(&RULE, at(20_120));
    assert_eq!(usages[0].1.granted, 11);
    observe(&mut after, 1, true, 21_000);
    let usages = after.usages(&RULE, at(25_400));
    assert_eq!(usages[0].1.granted, 1);
}

#[test]
fn repeated_claim_gets_the_same_answer_and_counts_once() {
    let mut before = settled_owner(10);
    let mut after = new_owner(20_000);
    stance(&mut after, 20_000);

    let first = hand_over(&mut before, 20_000);
    let second = hand_over(&mut before, 20_060);
    take_over(&mut after, &first, 20_070);
    take_over(&mut after, &second, 20_080);

    let tokens = |handover: &Handover| handover.grants.iter().map(|(_, tokens)| tokens).sum();
    let counts: [u32; 2] = [tokens(&first), tokens(&second)];
    assert_eq!(counts, [10, 10]);
    assert_eq!(after.usages(&RULE, at(20_080))[0].1.granted, 10);
}

#[test]
fn questions_after_a_handover_are_passed_on_until_all_have_noticed() {
    let mut before = settled_owner(10);

    hand_over(&mut before, 20_000);

    let to = SUCCESSOR.to_owned();
    assert_eq!(stance(&mut before, 20_500), Stance::Forward { to });
    for ms in [20_600, 21_600, 22_100] {
        observe(&mut before, 1, true, ms);
    }
    assert_ne!(
        stance(&mut before, 22_100),
        Stance::Forward {
            to: SUCCESSOR.to_owned()
        }
    );
}

#[test]
fn owner_whose_successor_dies_takes_the_customer_back_with_what_it_gave() {
    let mut before = settled_owner(10);
    hand_over(&mut before, 20_000);

    observe(&mut before, 2, false, 20_500);
    observe(&mut before, 3, true, 21_000);

    assert_eq!(stance(&mut before, 21_000), Stance::Claim);
    assert_eq!(before.usages(&RULE, at(21_000))[0].1.granted, 10);
}

#[test]
fn vm_that_gets_a_customer_of_one_that_leaves_gives_its_tokens_before_it_notices() {
    let mut leaving = settled_owner(10);
    let mut next = Grantor::new(at(0));
    for ms in (0..20_000).step_by(500) {
        observe(&mut next, 1, false, ms);
    }
    assert_eq!(leaving.owned_customers(), [CUSTOMER]);

    let handover = hand_over(&mut leaving, 20_000);
    take_over(&mut next, &handover, 20_010);
    observe(&mut next, 2, false, 20_500);

    // 60 in 5 s are 6 in half a second.
    let grant = next.grant(CUSTOMER, ENTITLEMENT, 6, &RULE, false, at(20_520));
    assert_eq!((grant.tokens, grant.is_limited), (6, false));
}

#[test]
fn customers_that_were_handed_over_leave_no_state() {
    let mut before = settled_owner(10);
    hand_over(&mut before, 20_000);

    for ms in (20_000..36_000).step_by(500) {
        observe(&mut before, 1, true, ms);
    }

    assert!(before.is_empty());
}

/// Asks for a token and lets the VM that is asked give none, as it does not know what others gave.
fn ask_in_vain(allowances: &mut Allowances, number: u64, ms: u64) -> Query {
    let Step::Ask(query) = allowances.next_step(CUSTOMER, 1, at(ms)) else {
        panic!("nothing is asked at {ms} ms");
    };
    allowances.record_query(CUSTOMER, number, query, at(ms));
    let grant = Grant {
        retry_after: at(500),
        ..Grant::default()
    };
    allowances.record_grant(CUSTOMER, number, grant, at(ms + 10));
    query
}

#[test]
fn vm_asks_the_next_in_rank_at_once_if_one_does_not_know_what_there_is() {
    let mut allowances = Allowances::default();

    let ranks = [0, 20, 40].map(|ms| ask_in_vain(&mut allowances, ms, ms).rank);

    assert_eq!(ranks, [0, 1, 2]);
    let step = allowances.next_step(CUSTOMER, 1, at(60));
    let retry_after = at(490);
    assert_eq!(step, Step::Refuse(Refusal::Unknown { retry_after }));
}

/// Guards against counts of another VM that cannot be: they come in a datagram.
#[test]
fn handover_of_more_tokens_than_can_be_counted_does_no_harm_once_they_expire() {
    let mut grantor = new_owner(0);
    let handover = Handover {
        owner_for: Some(at(20_000)),
        level: 0.0,
        grants: vec![(at(10), u32::MAX), (at(5), u32::MAX)],
    };

    take_over(&mut grantor, &handover, 100);
    let while_they_count = grant(&mut grantor, 1, 200);
    let later = grant(&mut grantor, 1, 20_000);

    assert_eq!((while_they_count, later), (0, 1));
}

/// A VM that gave a customer away and had nothing to tell is asked again once it has noticed the new owner.
#[test]
fn repeated_claim_does_not_end_the_passing_on_of_questions() {
    let mut grantor = Grantor::new(at(0));
    observe(&mut grantor, 1, true, 0);
    hand_over(&mut grantor, 100);

    grantor.hand_over(CUSTOMER, SUCCESSOR, &RULE, false, at(160));

    let to = SUCCESSOR.to_owned();
    assert_eq!(stance(&mut grantor, 200), Stance::Forward { to });
}
