//! Limits that hold for all VMs together without coordination.

use {
    balance::{RetryBudget, RetryRule, SlowStart, select_warmup_senders},
    std::time::Duration,
};

const RULE: RetryRule = RetryRule {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns the most times within a second, from any of them on.
fn max_in_a_second(times_ms: &[u64]) -> f64 {
    let count_from = |start: u64| {
        let inside = |ms: &&u64| (start..start + 1_000).contains(*ms);
        times_ms.iter().filter(inside).count()
    };
    let most = times_ms.iter().map(|start| count_from(*start)).max();
    f64::from(u32::try_from(most.unwrap_or(0)).unwrap_or(u32::MAX))
}

/// A service sheds every request, so that each one needs a retry.
#[test]
fn retries_of_all_vms_stay_within_budget_when_a_service_sheds_everything() {
    const VMS: usize = 12;
    let mut vms = vec![RetryBudget::default(); VMS];
    let mut first_attempt_times: Vec<u64> = Vec::new();
    let mut retry_times: Vec<u64> = Vec::new();

    for ms in (0..40_000).step_by(10) {
        let vm = usize::try_from(ms / 10).unwrap_or(0) % VMS;
        vms[vm].record_first_attempt(at(ms), &RULE);
        first_attempt_times.push(ms);
        while vms[vm].try_withdraw(at(ms), &RULE, Some(VMS)) {
            retry_times.push(ms);
        }
    }

    for start in (0..30_000).step_by(100) {
        let count_in_window = |times: &[u64]| {
            let inside = |ms: &&u64| (start..start + 10_000).contains(*ms);
            times.iter().filter(inside).count()
        };
        let allowed = count_in_window(&first_attempt_times) / 5 + 60;
        assert!(
            count_in_window(&retry_times) <= allowed,
            "window from {start} ms"
        );
    }
}

/// Also where there are so many VMs that each has little more than two retries in a window.
#[test]
fn idle_service_allows_a_retry() {
    for vm_count in [12, 27] {
        let mut budget = RetryBudget::default();

        budget.record_first_attempt(at(10_000), &RULE);

        assert!(
            budget.try_withdraw(at(10_001), &RULE, Some(vm_count)),
            "{vm_count} VMs"
        );
    }
}

/// A target restarts cold while every VM has requests for it, and a network partition divides
/// the VMs into two groups that each select their own senders.
#[test]
fn cold_target_stays_under_its_rate_limit_during_a_partition() {
    let limit_per_s = 3.2 * 1.5 + 5.0;
    let names: Vec<String> = (0..12).map(|n| format!("vm-{n}")).collect();
    let groups = [&names[..6], &names[6..]];
    let mut send_times: Vec<u64> = Vec::new();

    for group in groups {
        let vms: Vec<(&str, &str)> = group.iter().map(|name| (name.as_str(), "z")).collect();
        for _sender in select_warmup_senders("target", "z", vms) {
            let mut slow_start = SlowStart::default();
            for ms in 0..5_000 {
                if slow_start.has_capacity("target", limit_per_s, at(ms)) {
                    slow_start.record_request("target", limit_per_s, at(ms));
                    send_times.push(ms);
                }
            }
        }
    }

    let most = max_in_a_second(&send_times);
    assert!(most <= limit_per_s, "{most}");
}

/// Guards against senders that are killed and send their share of the same second again.
#[test]
fn cold_target_stays_under_its_rate_limit_while_its_senders_are_killed_again_and_again() {
    let limit_per_s = 60.0;
    let names = ["vm-0", "vm-1", "vm-2"];
    let mut send_times: Vec<u64> = Vec::new();

    for lifetime_ms in [300, 700, 1_600] {
        send_times.clear();
        for started_at in (0..10_000).step_by(lifetime_ms) {
            for _sender in names {
                let mut slow_start = SlowStart::default();
                for age_ms in 0..u64::try_from(lifetime_ms).unwrap_or(0) {
                    if slow_start.has_capacity("target", limit_per_s, at(age_ms)) {
                        slow_start.record_request("target", limit_per_s, at(age_ms));
                        send_times.push(started_at + age_ms);
                    }
                }
            }
        }

        let most = max_in_a_second(&send_times);
        assert!(most <= limit_per_s, "killed after {lifetime_ms} ms: {most}");
    }
}

#[test]
fn warmup_senders_are_selected_in_the_zone_of_the_target_first() {
    let vms = [
        ("a", "z1"),
        ("b", "z2"),
        ("c", "z1"),
        ("d", "z3"),
        ("e", "z1"),
        ("f", "z1"),
    ];

    let chosen = select_warmup_senders("target", "z1", vms);

    assert_eq!(chosen.len(), 3);
    assert!(
        chosen
            .iter()
            .all(|name| ["a", "c", "e", "f"].contains(name))
    );
}
