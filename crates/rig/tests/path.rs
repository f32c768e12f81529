//! Lookups, requests and changes by operators in a system without faults.

mod common;

use {
    common::{bib_request, claim_request},
    rig::{Audit, Options, Rig},
    stand::caller::Status,
    wire::{Change, Kind, Mark, Verdict},
};

#[actix_rt::test]
async fn requests_after_a_lookup_are_answered_in_every_region() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let mut records = Vec::new();

    for region_index in 0..3 {
        let mut caller = rig.create_caller(region_index);
        for _ in 0..10 {
            records.push(caller.send(&bib_request()).await);
            records.push(caller.send(&claim_request()).await);
        }
    }

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert_eq!(audit.answered, audit.sent, "{records:#?}");
}

#[actix_rt::test]
async fn accepted_change_is_in_force_on_every_vm() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let change = Change::Preset {
        name: "peak".to_owned(),
        expect: 1,
    };

    let decision = rig
        .admin
        .propose_change(&rig.vm_specs[0], change)
        .await
        .unwrap();

    assert_eq!(decision.verdict, Verdict::Accepted);
    assert_eq!(decision.document.preset, "peak");
    assert_eq!(decision.unconfirmed, Vec::<String>::new());
    for vm in &rig.vm_specs {
        assert_eq!(rig.admin.fetch_control_version(vm).await, Some(2));
    }
}

#[actix_rt::test]
async fn leaving_zone_gets_no_requests_after_the_change_is_accepted() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let mark = Mark {
        kind: Kind::Zone,
        name: "cebu-a".to_owned(),
    };

    let decision = rig
        .admin
        .propose_change(&rig.vm_specs[1], Change::Leaving(mark))
        .await
        .unwrap();
    let run_count_before = rig.fetch_runs().await.unwrap().len();
    let mut caller = rig.create_caller(1);
    let mut records = Vec::new();
    for _ in 0..30 {
        records.push(caller.send(&bib_request()).await);
    }

    assert_eq!(decision.verdict, Verdict::Accepted, "{}", decision.detail);
    assert!(
        records
            .iter()
            .all(|record| record.status == Status::Answered),
        "{records:#?}"
    );
    let runs = rig.fetch_runs().await.unwrap();
    let zone_runs = runs[run_count_before..]
        .iter()
        .filter(|run| run.zone == "cebu-a");
    assert_eq!(zone_runs.count(), 0);
}
