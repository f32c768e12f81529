//! Retry budgets of all VMs together, while processes are killed and start again.

#[path = "fixtures/retry_fleet.rs"]
mod retry_fleet;

use retry_fleet::Fleet;

/// Guards against repeats beyond the budget after a calm time, as a process that starts again does not
/// know what the one before it sent.
#[test]
fn retries_of_vms_that_are_killed_after_a_calm_time_stay_within_the_budget() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(75, seed);
        fleet.run(12_000, 1_100.0);

        fleet.failing = 0.9;
        fleet.run(2_000, 1_100.0);
        fleet.kill(1.0, 200);
        fleet.run(12_000, 1_100.0);

        fleet.assert_bound(&format!("seed {seed}"));
    }
}

/// Guards against repeats beyond the budget when each process that starts is given the fixed part anew.
#[test]
fn retries_of_vms_that_are_killed_again_and_again_stay_within_the_budget() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(75, seed);
        fleet.run(500, 400.0);

        fleet.failing = 0.9;
        for _ in 0..12 {
            fleet.kill(0.8, 200);
            fleet.run(1_000, 400.0);
        }

        fleet.assert_bound(&format!("seed {seed}"));
    }
}

/// Guards against VMs that each take the fixed part of all, as they have not heard of any other.
#[test]
fn retries_of_vms_that_start_cut_off_from_all_others_stay_within_the_budget() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(75, seed);
        fleet.run(2_000, 400.0);

        fleet.isolate(0.9);
        fleet.kill(1.0, 200);
        fleet.failing = 0.9;
        fleet.run(15_000, 400.0);

        fleet.assert_bound(&format!("seed {seed}"));
    }
}

/// Guards against repeats beyond the budget after a kill, also if they reach their targets later than they
/// are decided.
#[test]
fn retries_that_arrive_late_stay_within_the_budget() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(75, seed);
        fleet.max_delay_ms = 1_000;
        fleet.run(12_000, 400.0);

        fleet.failing = 0.9;
        fleet.run(3_000, 400.0);
        fleet.kill(1.0, 200);
        fleet.run(15_000, 400.0);

        fleet.assert_bound(&format!("seed {seed}"));
    }
}

#[test]
fn retries_stay_within_the_budget_whatever_happens_when() {
    for seed in 0..50 {
        let mut fleet = Fleet::start(30, seed);
        for _ in 0..30 {
            fleet.play_random_second();
        }

        fleet.assert_bound(&format!("seed {seed}"));
    }
}

#[test]
fn lasting_failure_leaves_half_of_the_allowed_retries_in_use() {
    let mut fleet = Fleet::start(75, 1);
    fleet.run(12_000, 1_100.0);

    let start = fleet.now;
    fleet.failing = 0.9;
    fleet.run(20_000, 1_100.0);

    let used = fleet.use_since(start);
    assert!(used >= 0.5, "{used}");
}

/// A tenth of the targets is lost, and with them the requests of a third of a second.
#[test]
fn short_failure_after_a_calm_time_declines_no_retry() {
    let mut fleet = Fleet::start(75, 1);
    fleet.run(12_000, 1_100.0);

    fleet.failing = 0.1;
    fleet.run(1_000, 1_100.0);

    assert_eq!(fleet.declined, 0);
}
