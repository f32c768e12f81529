//! The whole path: look-up, request, answer, operator's change.

mod common;

use {
    common::{claim, lookup_bib},
    rig::{Audit, Options, Rig},
    stand::caller::Status,
    wire::{Change, Kind, Mark, Verdict},
};

#[actix_rt::test]
async fn answers_requests_of_all_kinds_through_lookups() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let mut records = Vec::new();

    for region in 0..3 {
        let mut caller = rig.create_caller(region);
        for _ in 0..10 {
            records.push(caller.send(&lookup_bib()).await);
            records.push(caller.send(&claim()).await);
        }
    }

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert_eq!(audit.answered, audit.sent, "{records:#?}");
}

#[actix_rt::test]
async fn change_is_in_force_on_every_vm_once_accepted() {
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
    for place in &rig.vm_specs {
        assert_eq!(rig.admin.fetch_control_version(place).await, Some(2));
    }
}

#[actix_rt::test]
async fn leaving_zone_gets_no_new_work_once_accepted() {
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
    let before = rig.fetch_runs().await.unwrap().len();
    let mut caller = rig.create_caller(1);
    let mut records = Vec::new();
    for _ in 0..30 {
        records.push(caller.send(&lookup_bib()).await);
    }

    assert_eq!(decision.verdict, Verdict::Accepted, "{}", decision.detail);
    assert!(
        records
            .iter()
            .all(|record| record.status == Status::Answered),
        "{records:#?}"
    );
    let runs = rig.fetch_runs().await.unwrap();
    let there = runs[before..].iter().filter(|run| run.zone == "cebu-a");
    assert_eq!(there.count(), 0);
}
