//! Outages of the platform: down, slow, silent, and answers that are lost.

mod common;

use {
    common::{claim, lookup_bib, new_key, refund, runs_of},
    rig::{Audit, Load, Options, Rig, wait_until},
    stand::{
        caller::Status,
        platform::{Fault, Mode},
    },
    std::time::Duration,
    wire::{Change, Verdict},
};

const LIMIT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);

fn down() -> Fault {
    Fault {
        mode: Mode::Down,
        ..Fault::default()
    }
}

#[actix_rt::test]
async fn without_the_platform_claims_are_refused_at_once_and_lookups_go_on() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let caller = rig.create_caller(0);
    rig.set_platform_fault(&down()).await.unwrap();

    let key = new_key();
    let refused = caller
        .send_to(&rig.vm_specs[0].caller_url(), &claim(), &key, 0)
        .await;
    let unsure = caller
        .send_to(&rig.vm_specs[0].caller_url(), &claim(), &key, 1)
        .await;
    let served = caller
        .send_to(&rig.vm_specs[0].caller_url(), &lookup_bib(), "token", 0)
        .await;

    assert_eq!(
        (refused.status, refused.reason.as_str()),
        (Status::NotRun, "store-down")
    );
    assert!(refused.retry_after_ms > 0);
    assert_eq!(
        (unsure.status, unsure.reason.as_str()),
        (Status::MayHaveRun, "store-down")
    );
    assert_eq!(served.status, Status::Answered);
    assert_eq!(runs_of(&rig, &key).await, 0);
}

#[actix_rt::test]
async fn claims_survive_lost_answers_of_the_platform() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let load = Load::start(rig.create_callers(6), &[claim(), refund()], PAUSE);
    for _ in 0..8 {
        let fault = Fault {
            lose_answers: 2,
            lose_commits: 1,
            ..Fault::default()
        };
        rig.set_platform_fault(&fault).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(250)).await;
    }
    rig.set_platform_fault(&Fault::default()).await.unwrap();

    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert!(audit.answered > audit.sent / 2, "{audit:?}");
}

#[actix_rt::test]
async fn promises_hold_while_the_platform_comes_and_goes() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let load = Load::start(rig.create_callers(9), &rig.build_requests(4), PAUSE);
    let slow = Fault {
        delay_ms: 1500,
        ..Fault::default()
    };
    let hang = Fault {
        mode: Mode::Hang,
        ..Fault::default()
    };
    for fault in [
        down(),
        Fault::default(),
        slow,
        Fault::default(),
        hang,
        Fault::default(),
    ] {
        rig.set_platform_fault(&fault).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(1500)).await;
    }

    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    let lookups = records.iter().filter(|record| record.key.is_empty());
    let failed: Vec<_> = lookups
        .filter(|record| record.status != Status::Answered)
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

#[actix_rt::test]
async fn vm_started_in_an_outage_serves_the_highest_version() {
    let mut rig = Rig::start(Options::default()).await.unwrap();
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
    rig.vm_processes[5].kill();
    rig.set_platform_fault(&down()).await.unwrap();

    rig.start_vm(5).unwrap();
    wait_until("the VM", LIMIT, || async {
        rig.admin.is_ready(&rig.vm_specs[5]).await
    })
    .await
    .unwrap();

    assert_eq!(
        rig.admin.fetch_control_version(&rig.vm_specs[5]).await,
        Some(2)
    );
}

#[actix_rt::test]
async fn vm_started_without_platform_and_peers_is_not_ready() {
    let mut rig = Rig::start(Options::default()).await.unwrap();
    rig.set_platform_fault(&down()).await.unwrap();
    for vm in &mut rig.vm_processes {
        vm.kill();
    }

    rig.start_vm(0).unwrap();
    wait_until("the dump", LIMIT, || async {
        rig.admin.fetch_state(&rig.vm_specs[0]).await.is_ok()
    })
    .await
    .unwrap();
    let record = rig
        .create_caller(0)
        .send_to(&rig.vm_specs[0].caller_url(), &lookup_bib(), "token", 0)
        .await;

    assert!(!rig.admin.is_ready(&rig.vm_specs[0]).await);
    assert_eq!(
        (record.status, record.reason.as_str()),
        (Status::NotRun, "not-ready")
    );
}

#[actix_rt::test]
async fn operator_is_told_the_truth_when_the_platform_is_down_or_answers_are_lost() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let switch = |name: &str, expect| Change::Preset {
        name: name.to_owned(),
        expect,
    };
    rig.set_platform_fault(&down()).await.unwrap();
    let refused = rig
        .admin
        .propose_change(&rig.vm_specs[0], switch("peak", 1))
        .await
        .unwrap();
    let lost = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    rig.set_platform_fault(&lost).await.unwrap();
    let accepted = rig
        .admin
        .propose_change(&rig.vm_specs[0], switch("peak", 1))
        .await
        .unwrap();

    assert_eq!(refused.verdict, Verdict::Invalid, "{}", refused.detail);
    assert_eq!(accepted.verdict, Verdict::Accepted, "{}", accepted.detail);
    assert_eq!(accepted.document.version, 2);
}
