//! Quotas over all VMs together, under load and failures, without a network.

#![allow(
    clippy::cast_precision_loss,
    reason = "the counts of these tests are small"
)]

use {
    customer::{
        RateLimit,
        quota::{Grantor, Refusal},
    },
    measure::quota_fleet::{Fleet, RULE, limit},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

fn assert_bound(fleet: &Fleet, limit: RateLimit, case: &str) {
    let worst = fleet.worst_window();
    let bound = RULE.window_bound(limit);
    assert!(worst as f64 <= bound, "{case}: {worst} of {bound}");
}

#[test]
fn customer_above_its_rate_gets_nine_tenths_of_its_limit_and_never_more_than_the_bound() {
    let sizes = [(3, 40.0), (12, 40.0), (71, 40.0), (71, 360.0), (71, 2.0)];
    let cases = sizes
        .into_iter()
        .flat_map(|size| [(size, 2.0), (size, 8.0)]);
    for ((vms, rate), factor) in cases {
        let mut fleet = Fleet::start(vms, limit(rate), 1);

        let start = fleet.now;
        fleet.run(20_000, rate * factor);

        let case = format!("{vms} VMs at {factor} times {rate}/s");
        assert_bound(&fleet, limit(rate), &case);
        assert!(
            fleet.use_since(start) >= 0.9,
            "{case}: {}",
            fleet.use_since(start)
        );
    }
}

#[test]
fn customer_at_its_usual_rate_is_never_refused() {
    for (vms, rate) in [(3, 40.0), (12, 40.0), (71, 360.0), (71, 16.0), (71, 2.0)] {
        let mut fleet = Fleet::start(vms, limit(rate), 2);

        fleet.run(20_000, rate / 1.6);

        assert_eq!(fleet.refused, [], "{vms} VMs at {rate}/s");
    }
}

#[test]
fn halves_of_a_partition_together_stay_below_the_bound_and_use_six_tenths() {
    for seed in 0..10 {
        for (vms, rate) in [(12, 40.0), (71, 360.0), (71, 10.0)] {
            let mut fleet = Fleet::start(vms, limit(rate), seed);
            fleet.run(6_000, rate * 5.0);

            let cut_at = fleet.now;
            for vm in (0..vms).step_by(2) {
                fleet.set_side(vm, Some(1));
            }
            fleet.run(20_000, rate * 5.0);
            let used = fleet.use_since(cut_at);
            for vm in (0..vms).step_by(2) {
                fleet.set_side(vm, Some(0));
            }
            fleet.run(10_000, rate * 5.0);

            let case = format!("{vms} VMs at {rate}/s, seed {seed}");
            assert_bound(&fleet, limit(rate), &case);
            assert!(used >= 0.6, "{case}: {used}");
        }
    }
}

#[test]
fn death_of_the_owner_does_not_exceed_the_bound() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(12, limit(100.0), seed);
        fleet.run(6_000, 500.0);

        for _ in 0..3 {
            let owner = fleet.owner();
            fleet.set_side(owner, None);
            fleet.run(4_000, 500.0);
            fleet.restart(owner);
            fleet.run(3_000, 500.0);
        }

        assert_bound(&fleet, limit(100.0), &format!("seed {seed}"));
    }
}

/// It knows no other VM, and so takes itself for the whole fleet.
#[test]
fn vm_that_starts_cut_off_from_all_others_does_not_exceed_the_bound() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(3, limit(100.0), seed);
        fleet.run(6_000, 500.0);

        fleet.set_side(0, None);
        fleet.set_side(1, Some(1));
        fleet.set_side(2, Some(1));
        fleet.run(3_000, 500.0);
        fleet.restart(0);
        fleet.run(15_000, 500.0);

        assert_bound(&fleet, limit(100.0), &format!("seed {seed}"));
    }
}

#[test]
fn owner_that_was_paused_does_not_exceed_the_bound_when_it_wakes() {
    for seed in 0..100 {
        let mut fleet = Fleet::start(12, limit(100.0), seed);
        fleet.run(6_000, 500.0);

        let owner = fleet.owner();
        fleet.pause(owner, 6_000);
        fleet.run(15_000, 500.0);

        assert_bound(&fleet, limit(100.0), &format!("seed {seed}"));
    }
}

/// The VM that takes a customer over dies before all others have noticed that it came.
#[test]
fn owner_that_dies_right_after_it_returned_does_not_exceed_the_bound() {
    for seed in 0..30 {
        let mut fleet = Fleet::start(12, limit(100.0), seed);
        fleet.run(6_000, 500.0);

        let owner = fleet.owner();
        fleet.set_side(owner, None);
        fleet.run(6_000, 500.0);
        fleet.restart(owner);
        fleet.run(700, 500.0);
        fleet.set_side(owner, None);
        fleet.run(10_000, 500.0);

        assert_bound(&fleet, limit(100.0), &format!("seed {seed}"));
    }
}

#[test]
fn customer_at_its_usual_rate_is_not_refused_while_its_owner_returns() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(12, limit(100.0), seed);
        let owner = fleet.owner();
        fleet.set_side(owner, None);
        fleet.run(10_000, 100.0 / 1.6);
        fleet.refused.clear();

        fleet.restart(owner);
        fleet.run(10_000, 100.0 / 1.6);

        assert_eq!(fleet.refused, [], "seed {seed}");
    }
}

#[test]
fn customer_at_its_usual_rate_is_not_refused_while_its_owner_leaves() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(12, limit(100.0), seed);
        fleet.run(6_000, 100.0 / 1.6);

        let owner = fleet.owner();
        fleet.leave(owner);
        fleet.run(10_000, 100.0 / 1.6);

        assert_eq!(fleet.refused, [], "seed {seed}");
    }
}

/// The VMs that do not see the owner ask another one, which passes their questions on.
#[test]
fn customer_at_its_usual_rate_is_not_refused_by_vms_that_do_not_see_its_owner() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(12, limit(100.0), seed);
        fleet.run(6_000, 100.0 / 1.6);

        let owner = fleet.owner();
        for vm in (0..12).filter(|vm| *vm != owner && vm % 2 == 0) {
            fleet.overlook(vm, owner, 3_000);
        }
        fleet.run(5_000, 100.0 / 1.6);

        assert_eq!(fleet.refused, [], "seed {seed}");
    }
}

#[test]
fn owner_that_leaves_does_not_let_its_successor_exceed_the_limit() {
    for seed in 0..30 {
        let mut fleet = Fleet::start(12, limit(100.0), seed);
        fleet.run(3_000, 50.0);
        fleet.run(2_500, 500.0);

        let owner = fleet.owner();
        fleet.leave(owner);
        fleet.run(10_000, 500.0);

        let worst = fleet.worst_window();
        assert!(
            worst as f64 <= RULE.window_limit(limit(100.0)),
            "seed {seed}: {worst}"
        );
    }
}

#[test]
fn schedules_of_losses_deaths_pauses_and_partitions_never_exceed_the_bound() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let vms = rng.random_range(3..20);
        let rate = rng.random_range(2.0..300.0);
        let mut fleet = Fleet::start(vms, limit(rate), seed);
        fleet.loss = rng.random_range(0.0..0.2);
        for _ in 0..15 {
            let vm = rng.random_range(0..vms);
            match rng.random_range(0..4) {
                0 => fleet.set_side(vm, None),
                1 if !fleet.is_up(vm) => fleet.restart(vm),
                2 => fleet.pause(vm, rng.random_range(0..4_000)),
                _ if fleet.is_up(vm) => {
                    let side = rng.random_range(0..2);
                    fleet.set_side(vm, Some(side));
                }
                _ => {}
            }
            let load = rng.random_range(0.0..8.0);
            fleet.run(rng.random_range(100..5_000), rate * load);
        }

        assert_bound(
            &fleet,
            limit(rate),
            &format!("seed {seed}: {vms} VMs at {rate}/s"),
        );
    }
}

#[test]
fn lowered_limit_binds_one_window_after_its_version() {
    let mut fleet = Fleet::start(12, limit(100.0), 3);
    fleet.run(10_000, 500.0);

    fleet.limit = limit(50.0);
    fleet.version = 2;
    fleet.run(5_000, 500.0);
    fleet.admitted.clear();
    fleet.run(15_000, 500.0);

    assert_bound(&fleet, limit(50.0), "lowered");
}

#[test]
fn request_beyond_the_limit_is_told_a_time_at_which_tokens_come() {
    let mut fleet = Fleet::start(3, limit(4.0), 4);

    fleet.run(5_000, 40.0);

    assert!(!fleet.refused.is_empty());
    for (time, refusal) in &fleet.refused {
        let Refusal::Limited { retry_after } = refusal else {
            panic!("{refusal:?} at {time} ms");
        };
        assert!(
            *retry_after <= RULE.window + Duration::from_millis(320),
            "{retry_after:?}"
        );
    }
}

#[test]
fn idle_customer_leaves_no_state() {
    let mut fleet = Fleet::start(3, limit(4.0), 5);
    fleet.run(2_000, 4.0);

    fleet.run(15_000, 0.0);

    assert!(!fleet.has_state());
}

/// The parts of a partition, of any sizes, each give out their share of the limit.
#[test]
fn parts_of_a_fleet_together_give_out_at_most_the_limit() {
    let share = |alive: usize, known: usize| {
        let mut grantor = Grantor::new(Duration::ZERO);
        let fleet = customer::quota::Fleet {
            generation: 1,
            alive,
            known: Some(known),
        };
        for ms in (0..4_000).step_by(500) {
            grantor.observe(fleet, &RULE, |_| true, Duration::from_millis(ms));
        }
        grantor.share()
    };

    for a in 0..=71 {
        for b in 0..=(71 - a) {
            let sum = share(a, 71) + share(b, 71) + share(71 - a - b, 71);
            assert!(sum <= 1.0 + 1e-9, "{a} + {b}: {sum}");
        }
    }
    assert!(share(71, 71) >= 1.0);
}
