//! Faults of the platform: refused, delayed and stalled calls, and lost responses.

mod common;

use {
    common::{bib_request, claim_request, count_runs, new_idempotency_key, refund_request},
    rig::{Audit, LoadGenerator, Options, Rig, wait_until},
    stand::{
        caller::Status,
        platform::{FaultConfig, Mode},
    },
    std::time::Duration,
    wire::{Change, Verdict},
};

const TIMEOUT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);

fn platform_down() -> FaultConfig {
    FaultConfig {
        mode: Mode::Down,
        ..FaultConfig::default()
    }
}

#[actix_rt::test]
async fn platform_outage_refuses_claims_and_serves_idempotent_requests() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let caller = rig.create_caller(0);
    rig.set_platform_fault(&platform_down()).await.unwrap();

    let key = new_idempotency_key();
    let first_send = caller
        .send_to(&rig.vm_specs[0].caller_url(), &claim_request(), &key, 0)
        .await;
    let resend = caller
        .send_to(&rig.vm_specs[0].caller_url(), &claim_request(), &key, 1)
        .await;
    let bib = caller
        .send_to(&rig.vm_specs[0].caller_url(), &bib_request(), "token", 0)
        .await;

    assert_eq!(
        (first_send.status, first_send.reason.as_str()),
        (Status::NotRun, "store-down")
    );
    assert!(first_send.retry_after_ms > 0);
    assert_eq!(
        (resend.status, resend.reason.as_str()),
        (Status::MayHaveRun, "store-down")
    );
    assert_eq!(bib.status, Status::Answered);
    assert_eq!(count_runs(&rig, &key).await, 0);
}

#[actix_rt::test]
async fn lost_platform_responses_violate_no_guarantee_of_claims() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let load = LoadGenerator::start(
        rig.create_callers(6),
        &[claim_request(), refund_request()],
        PAUSE,
    );
    for _ in 0..8 {
        let fault = FaultConfig {
            lose_responses: 2,
            lose_commits: 1,
            ..FaultConfig::default()
        };
        rig.set_platform_fault(&fault).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(250)).await;
    }
    rig.set_platform_fault(&FaultConfig::default())
        .await
        .unwrap();

    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert!(audit.answered > audit.sent / 2, "{audit:?}");
}

#[actix_rt::test]
async fn repeated_platform_outages_violate_no_guarantee() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let load = LoadGenerator::start(rig.create_callers(9), &rig.build_requests(4), PAUSE);
    let delayed = FaultConfig {
        delay_ms: 1500,
        ..FaultConfig::default()
    };
    let stalled = FaultConfig {
        mode: Mode::Hang,
        ..FaultConfig::default()
    };
    for fault in [
        platform_down(),
        FaultConfig::default(),
        delayed,
        FaultConfig::default(),
        stalled,
        FaultConfig::default(),
    ] {
        rig.set_platform_fault(&fault).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(1500)).await;
    }

    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    let idempotent = records.iter().filter(|record| record.key.is_empty());
    let failed: Vec<_> = idempotent
        .filter(|record| record.status != Status::Answered)
        .collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

#[actix_rt::test]
async fn vm_started_during_a_platform_outage_gets_the_latest_version_from_peers() {
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
    rig.set_platform_fault(&platform_down()).await.unwrap();

    rig.start_vm(5).unwrap();
    wait_until("VM started during the outage", TIMEOUT, || async {
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
    rig.set_platform_fault(&platform_down()).await.unwrap();
    for vm in &mut rig.vm_processes {
        vm.kill();
    }

    rig.start_vm(0).unwrap();
    wait_until("state dump of the VM", TIMEOUT, || async {
        rig.admin.fetch_state(&rig.vm_specs[0]).await.is_ok()
    })
    .await
    .unwrap();
    let record = rig
        .create_caller(0)
        .send_to(&rig.vm_specs[0].caller_url(), &bib_request(), "token", 0)
        .await;

    assert!(!rig.admin.is_ready(&rig.vm_specs[0]).await);
    assert_eq!(
        (record.status, record.reason.as_str()),
        (Status::NotRun, "not-ready")
    );
}

#[actix_rt::test]
async fn decision_matches_the_outcome_when_the_platform_is_down_or_loses_a_response() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let switch_preset = |name: &str, expect| Change::Preset {
        name: name.to_owned(),
        expect,
    };
    rig.set_platform_fault(&platform_down()).await.unwrap();
    let refused = rig
        .admin
        .propose_change(&rig.vm_specs[0], switch_preset("peak", 1))
        .await
        .unwrap();
    let lost_response = FaultConfig {
        lose_responses: 1,
        ..FaultConfig::default()
    };
    rig.set_platform_fault(&lost_response).await.unwrap();
    let accepted = rig
        .admin
        .propose_change(&rig.vm_specs[0], switch_preset("peak", 1))
        .await
        .unwrap();

    assert_eq!(refused.verdict, Verdict::Invalid, "{}", refused.detail);
    assert_eq!(accepted.verdict, Verdict::Accepted, "{}", accepted.detail);
    assert_eq!(accepted.document.version, 2);
}
