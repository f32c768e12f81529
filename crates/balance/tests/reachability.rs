//! A VM that loses its way to the targets, and targets that fail by themselves.

use {balance::Reachability, std::time::Duration};

fn at_ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn unreachable_target_leads_to_a_check() {
    let mut reachability = Reachability::default();

    assert!(reachability.record_failure(at_ms(0)));
    assert!(!reachability.is_cut_off());
}

#[test]
fn failures_while_targets_are_reached_lead_to_few_checks() {
    let mut reachability = Reachability::default();

    let checks = (0..5000).step_by(10).filter(|ms| {
        let is_due = reachability.record_failure(at_ms(*ms));
        if is_due {
            reachability.record_check(true);
        }
        is_due
    });

    assert_eq!(checks.count(), 5);
}

#[test]
fn check_decides_whether_the_vm_is_cut_off() {
    let mut reachability = Reachability::default();

    let begins = reachability.record_check(false);
    let goes_on = reachability.record_check(false);
    let while_cut_off = reachability.is_cut_off();
    let ends = reachability.record_check(true);

    assert!(begins && !goes_on && ends);
    assert!(while_cut_off && !reachability.is_cut_off());
}
