//! Limits that VMs share without a message.

use {
    balance::{RetryBudget, RetryPolicy, SlowStart, select_update_source, select_warmup_senders},
    std::{collections::BTreeMap, time::Duration},
};

const RULE: RetryPolicy = RetryPolicy {
    ratio: 0.2,
    slack: 60.0,
    window: Duration::from_secs(10),
};

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Pattern: a service that sheds everything, so that each request asks for a retry.
#[test]
fn retries_of_all_vms_stay_in_the_budget_when_a_service_sheds_all() {
    const VMS: usize = 12;
    let mut vms = vec![RetryBudget::default(); VMS];
    let mut firsts: Vec<u64> = Vec::new();
    let mut repeats: Vec<u64> = Vec::new();

    for ms in (0..40_000).step_by(10) {
        let vm = usize::try_from(ms / 10).unwrap_or(0) % VMS;
        vms[vm].record_first_attempt(at(ms), &RULE);
        firsts.push(ms);
        while vms[vm].try_withdraw(at(ms), &RULE, VMS) {
            repeats.push(ms);
        }
    }

    for start in (0..30_000).step_by(100) {
        let within = |times: &[u64]| {
            let inside = |ms: &&u64| (start..start + 10_000).contains(*ms);
            times.iter().filter(inside).count()
        };
        let allowed = within(&firsts) / 5 + 60;
        assert!(within(&repeats) <= allowed, "window from {start} ms");
    }
}

#[test]
fn quiet_service_has_a_few_retries() {
    let mut retries = RetryBudget::default();

    retries.record_first_attempt(at(0), &RULE);

    assert!(retries.try_withdraw(at(1), &RULE, 12));
}

/// Pattern: a target that comes back cold while every VM has work for it, and the VMs are
/// cut into two groups that do not see each other.
#[test]
fn cold_target_stays_under_its_rate_while_vms_are_cut_in_two() {
    let bound = 3.2 * 1.5 + 5.0;
    let names: Vec<String> = (0..12).map(|n| format!("vm-{n}")).collect();
    let groups = [&names[..6], &names[6..]];
    let mut sent: Vec<u64> = Vec::new();

    for group in groups {
        let vms: Vec<(&str, &str)> = group.iter().map(|name| (name.as_str(), "z")).collect();
        for _sponsor in select_warmup_senders("target", "z", vms) {
            let mut ramp = SlowStart::default();
            for ms in 0..5_000 {
                if ramp.has_capacity("target", bound, at(ms)) {
                    ramp.record_request("target", bound, at(ms));
                    sent.push(ms);
                }
            }
        }
    }

    for start in 0..4_000 {
        let inside = sent
            .iter()
            .filter(|ms| (start..start + 1_000).contains(*ms));
        let count = u32::try_from(inside.count()).unwrap_or(u32::MAX);
        assert!(f64::from(count) <= bound, "second from {start} ms: {count}");
    }
}

#[test]
fn sponsors_in_the_target_s_zone_come_first() {
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

/// Pattern: a zone of 87 VMs, as at the design size. Each group has its own follower, and no
/// follower tells more than it can.
#[test]
fn large_zone_has_a_follower_for_each_thirty_vms() {
    let names: Vec<String> = (0..87).map(|n| format!("vm-{n}")).collect();

    let mut told: BTreeMap<&str, usize> = BTreeMap::new();
    let mut followers = 0;
    for own in &names {
        let others = names.iter().filter(|name| *name != own);
        match select_update_source(own, others.map(String::as_str)) {
            Some(source) => *told.entry(source).or_default() += 1,
            None => followers += 1,
        }
    }

    assert_eq!(followers, 3);
    assert_eq!(told.len(), 3);
    // 15 KB/s a VM for control, 0.4 KB/s for each that is told.
    assert!(told.values().all(|told| *told <= 37), "{told:?}");
}

#[test]
fn small_zone_has_one_follower() {
    let names = ["a", "b", "c"];

    let sources =
        names.map(|own| select_update_source(own, names.into_iter().filter(|name| *name != own)));

    assert_eq!(sources.iter().filter(|source| source.is_none()).count(), 1);
}
