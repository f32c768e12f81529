//! Caps of shifts, regions and links, counted at the upstreams.

mod common;

use {
    common::{browse_results, lookup_bib},
    rig::{Audit, Load, Options, Rig},
    stand::{caller::Caller, upstream::Run},
    std::time::Duration,
    wire::{Change, Verdict},
};

const PAUSE: Duration = Duration::from_millis(10);
const SECOND_MS: u64 = 1000;

/// Most runs in any second.
fn busiest_second(runs: &[Run], counts: impl Fn(&Run) -> bool) -> usize {
    let mut times: Vec<u64> = runs
        .iter()
        .filter(|run| counts(run))
        .map(|run| run.started_at_ms)
        .collect();
    times.sort_unstable();
    let within = |start: usize| {
        let end = times[start] + SECOND_MS;
        times[start..]
            .iter()
            .take_while(|time| **time < end)
            .count()
    };
    (0..times.len()).map(within).max().unwrap_or(0)
}

fn from_region(rig: &Rig, region: usize, count: usize) -> Vec<Caller> {
    (0..count).map(|_| rig.create_caller(region)).collect()
}

fn lower(old: &str, new: &str) -> Options {
    let unexpected = (
        "requests_per_s: 900\n        sites",
        "requests_per_s: 90\n        sites",
    );
    let replace = [(old, new), unexpected].map(|(old, new)| (old.to_owned(), new.to_owned()));
    Options {
        replacements: replace.to_vec(),
        ..Options::default()
    }
}

#[actix_rt::test]
async fn shift_to_cebu_stays_under_its_cap_through_a_switch_a_kill_and_a_return() {
    let mut rig = Rig::start(lower("cebu: 120", "cebu: 40")).await.unwrap();
    let mut callers = from_region(&rig, 0, 20);
    callers.extend(from_region(&rig, 2, 20));
    let load = Load::start(callers, &[browse_results()], PAUSE);
    let change = Change::Preset {
        name: "peak".to_owned(),
        expect: 1,
    };

    let decision = rig
        .admin
        .propose_change(&rig.vm_specs[0], change)
        .await
        .unwrap();
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let owner = rig.find_owner("racegate", "cebu").await.unwrap();
    rig.vm_processes[owner].kill();
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    rig.start_vm(u8::try_from(owner).unwrap()).unwrap();
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    let records = load.stop().await;

    let runs = rig.fetch_runs().await.unwrap();
    let busiest = busiest_second(&runs, |run| run.zone.starts_with("cebu"));
    let audit = Audit::from_records(&records, &runs);
    assert_eq!(decision.verdict, Verdict::Accepted);
    assert!((20..=40).contains(&busiest), "{busiest}");
    assert!(audit.guarantees_hold(), "{audit:?}");
}

#[actix_rt::test]
async fn region_stays_under_its_cap_and_the_rest_goes_elsewhere() {
    let options = lower(
        "{name: luzon, requests_per_s: 900}",
        "{name: luzon, requests_per_s: 130}",
    );
    let rig = Rig::start(options).await.unwrap();
    let load = Load::start(
        from_region(&rig, 0, 20),
        &[lookup_bib(), browse_results()],
        PAUSE,
    );
    actix_rt::time::sleep(Duration::from_secs(4)).await;

    let records = load.stop().await;

    let runs = rig.fetch_runs().await.unwrap();
    let there = busiest_second(&runs, |run| run.zone.starts_with("pasig"));
    let audit = Audit::from_records(&records, &runs);
    assert!((40..=130).contains(&there), "{there}");
    assert_eq!(audit.answered, audit.sent, "{audit:?}");
}

#[actix_rt::test]
async fn link_stays_under_its_cap() {
    let options = lower(
        "from: luzon, to: visayas, one_way_ms: 12, requests_per_s: 400",
        "from: luzon, to: visayas, one_way_ms: 1, requests_per_s: 60",
    );
    let rig = Rig::start(options).await.unwrap();
    let change = Change::Preset {
        name: "peak".to_owned(),
        expect: 1,
    };
    rig.admin
        .propose_change(&rig.vm_specs[0], change)
        .await
        .unwrap();
    let load = Load::start(from_region(&rig, 0, 20), &[lookup_bib()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(4)).await;

    let records = load.stop().await;

    let runs = rig.fetch_runs().await.unwrap();
    let over_link = busiest_second(&runs, |run| run.zone.starts_with("cebu"));
    let audit = Audit::from_records(&records, &runs);
    assert!((10..=60).contains(&over_link), "{over_link}");
    assert!(audit.guarantees_hold(), "{audit:?}");
}
