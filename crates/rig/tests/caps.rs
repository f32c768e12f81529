//! Rate limits of shifts, regions and links, measured at the upstreams.

mod common;

use {
    common::{bib_request, results_request},
    rig::{Audit, LoadGenerator, Options, Rig},
    stand::{caller::Caller, upstream::Run},
    std::time::Duration,
    wire::{Change, Verdict},
};

const PAUSE: Duration = Duration::from_millis(10);
const WINDOW_MS: u64 = 1000;

/// Returns the largest number of matching runs that started within any one second.
fn max_runs_per_s(runs: &[Run], matches: impl Fn(&Run) -> bool) -> usize {
    let mut starts_ms: Vec<u64> = runs
        .iter()
        .filter(|run| matches(run))
        .map(|run| run.started_at_ms)
        .collect();
    starts_ms.sort_unstable();
    let count_from = |first: usize| {
        let end_ms = starts_ms[first] + WINDOW_MS;
        starts_ms[first..]
            .iter()
            .take_while(|start_ms| **start_ms < end_ms)
            .count()
    };
    (0..starts_ms.len()).map(count_from).max().unwrap_or(0)
}

fn create_callers(rig: &Rig, region_index: usize, count: usize) -> Vec<Caller> {
    (0..count)
        .map(|_| rig.create_caller(region_index))
        .collect()
}

/// Returns options with one limit in the fleet settings lowered, and with the expected rate of the
/// preset reduced so that it stays within the limits.
fn with_lower_limit(old: &str, new: &str) -> Options {
    let expected_rate = (
        "requests_per_s: 900\n        sites",
        "requests_per_s: 90\n        sites",
    );
    let replacements =
        [(old, new), expected_rate].map(|(old, new)| (old.to_owned(), new.to_owned()));
    Options {
        replacements: replacements.to_vec(),
        ..Options::default()
    }
}

#[actix_rt::test]
async fn shift_stays_under_its_cap_during_a_preset_switch_and_an_owner_restart() {
    let mut rig = Rig::start(with_lower_limit("cebu: 120", "cebu: 40"))
        .await
        .unwrap();
    let mut callers = create_callers(&rig, 0, 20);
    callers.extend(create_callers(&rig, 2, 20));
    let load = LoadGenerator::start(callers, &[results_request()], PAUSE);
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
    let cebu_max_per_s = max_runs_per_s(&runs, |run| run.zone.starts_with("cebu"));
    let audit = Audit::from_records(&records, &runs);
    assert_eq!(decision.verdict, Verdict::Accepted);
    assert!((20..=40).contains(&cebu_max_per_s), "{cebu_max_per_s}");
    assert!(audit.guarantees_hold(), "{audit:?}");
}

#[actix_rt::test]
async fn region_stays_under_its_limit_and_excess_is_served_elsewhere() {
    let options = with_lower_limit(
        "{name: luzon, requests_per_s: 900}",
        "{name: luzon, requests_per_s: 130}",
    );
    let rig = Rig::start(options).await.unwrap();
    let load = LoadGenerator::start(
        create_callers(&rig, 0, 20),
        &[bib_request(), results_request()],
        PAUSE,
    );
    actix_rt::time::sleep(Duration::from_secs(4)).await;

    let records = load.stop().await;

    let runs = rig.fetch_runs().await.unwrap();
    let luzon_max_per_s = max_runs_per_s(&runs, |run| run.zone.starts_with("pasig"));
    let audit = Audit::from_records(&records, &runs);
    assert!((40..=130).contains(&luzon_max_per_s), "{luzon_max_per_s}");
    assert_eq!(audit.answered, audit.sent, "{audit:?}");
}

#[actix_rt::test]
async fn link_stays_under_its_limit() {
    let options = with_lower_limit(
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
    let load = LoadGenerator::start(create_callers(&rig, 0, 20), &[bib_request()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(4)).await;

    let records = load.stop().await;

    let runs = rig.fetch_runs().await.unwrap();
    let link_max_per_s = max_runs_per_s(&runs, |run| run.zone.starts_with("cebu"));
    let audit = Audit::from_records(&records, &runs);
    assert!((10..=60).contains(&link_max_per_s), "{link_max_per_s}");
    assert!(audit.guarantees_hold(), "{audit:?}");
}
