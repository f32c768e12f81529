//! Integrity of responses while targets and connections fail.

mod common;

use {
    common::{
        bib_request, claim_request, count_runs, new_idempotency_key, refund_request,
        results_request,
    },
    rig::{Audit, LoadGenerator, Options, Rig},
    stand::{
        caller::{Record, Request, Status},
        upstream::{Behaviour, Fault},
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

const PAUSE: Duration = Duration::from_millis(10);

/// Checks that all requests of callers were answered and no guarantee was broken. Names each request
/// that was not, with the reason that its caller was told and the target that it went to.
async fn check_all_answered(rig: &Rig, records: &[Record]) {
    let runs = rig.fetch_runs().await.unwrap();
    let audit = Audit::from_records(records, &runs);
    let is_unanswered = |record: &&Record| record.status != Status::Answered;
    let unanswered: Vec<&Record> = records.iter().filter(is_unanswered).collect();
    let runs_of = |record: &&Record| {
        let of_key = runs
            .iter()
            .filter(|run| !run.key.is_empty() && run.key == record.key);
        of_key.map(|run| run.target.clone()).collect::<Vec<_>>()
    };
    let ran_at: Vec<Vec<String>> = unanswered.iter().map(runs_of).collect();
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert!(
        unanswered.is_empty(),
        "{audit:?} {unanswered:#?} ran at {ran_at:?}"
    );
}

fn with_fault(fault: Fault) -> Behaviour {
    Behaviour {
        service_ms: 30.0,
        fault,
        restart_ms: 1000,
    }
}

#[actix_rt::test]
async fn truncated_response_is_not_forwarded() {
    let rig = Rig::start(Options::default()).await.unwrap();
    rig.set_target_behaviour("payline", with_fault(Fault::CutResponses))
        .await
        .unwrap();
    rig.set_target_behaviour("bibdesk-pasig-a-1", with_fault(Fault::CutResponses))
        .await
        .unwrap();
    let key = new_idempotency_key();

    let refund = rig
        .create_caller(0)
        .send_to(&rig.vm_specs[0].caller_url(), &refund_request(), &key, 0)
        .await;
    let load = LoadGenerator::start(rig.create_callers(3), &[bib_request()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let records = load.stop().await;

    assert_eq!(refund.status, Status::MayHaveRun, "{refund:?}");
    assert_eq!(count_runs(&rig, &key).await, 1);
    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert_eq!(audit.answered, audit.sent, "{audit:?}");
}

#[actix_rt::test]
async fn late_response_never_reaches_another_request() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let slow = Behaviour {
        service_ms: 400.0,
        ..with_fault(Fault::None)
    };
    rig.set_target_behaviour("bibdesk", slow).await.unwrap();
    let short_timeout = Request {
        timeout: Duration::from_millis(450),
        ..bib_request()
    };
    let load = LoadGenerator::start(
        rig.create_callers(12),
        &[short_timeout, bib_request(), claim_request()],
        PAUSE,
    );
    actix_rt::time::sleep(Duration::from_secs(4)).await;

    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert!(audit.answered > 0, "{audit:?}");
}

#[actix_rt::test]
async fn requests_to_a_silent_target_are_retried_and_answered() {
    let rig = Rig::start(Options::default()).await.unwrap();
    rig.set_target_behaviour("bibdesk-pasig-a-1", with_fault(Fault::Silent))
        .await
        .unwrap();
    let load = LoadGenerator::start(rig.create_callers(3), &[bib_request()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(4)).await;

    let records = load.stop().await;

    check_all_answered(&rig, &records).await;
}

/// Guards against a run that is broken off for a retry which is then not made, or is no quicker.
#[actix_rt::test]
async fn slow_targets_are_awaited_where_retries_do_not_help() {
    /// Runs take up to half as long again, which is within the time of a caller, and mostly longer than half of it.
    const SLOW_MS: f64 = 1250.0;
    let rig = Rig::start(Options::default()).await.unwrap();
    let usual = LoadGenerator::start(rig.create_callers(3), &[bib_request()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    usual.stop().await;
    let slow = Behaviour {
        service_ms: SLOW_MS,
        ..with_fault(Fault::None)
    };
    rig.set_target_behaviour("bibdesk", slow).await.unwrap();

    let once = Request {
        max_sends: 1,
        ..bib_request()
    };
    let load = LoadGenerator::start(rig.create_callers(4), &[once], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(5)).await;
    let records = load.stop().await;

    check_all_answered(&rig, &records).await;
}

#[actix_rt::test]
async fn silent_open_connections_need_no_resend_by_the_caller() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let many_callers = LoadGenerator::start(rig.create_callers(60), &[bib_request()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    many_callers.stop().await;
    rig.set_target_behaviour("", with_fault(Fault::SilenceOpen))
        .await
        .unwrap();

    let load = LoadGenerator::start(rig.create_callers(3), &[bib_request()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    let resent_or_failed: Vec<_> = records
        .iter()
        .filter(|r| r.status != Status::Answered || r.sends > 1)
        .collect();
    assert!(resent_or_failed.is_empty(), "{resent_or_failed:#?}");
}

#[actix_rt::test]
async fn refunds_are_answered_while_targets_are_down_or_shed() {
    let rig = Rig::start(Options::default()).await.unwrap();
    rig.set_target_behaviour("payline-pasig-a-1", with_fault(Fault::Down))
        .await
        .unwrap();
    rig.set_target_behaviour("payline-pasig-a-2", with_fault(Fault::Shed))
        .await
        .unwrap();
    let load = LoadGenerator::start(rig.create_callers(3), &[refund_request()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(2)).await;

    let records = load.stop().await;

    check_all_answered(&rig, &records).await;
}

#[actix_rt::test]
async fn poison_request_crashes_at_most_two_targets_and_is_refused_at_once() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let poison = Request {
        path: "/bibs/poison".to_owned(),
        ..bib_request()
    };
    let caller = rig.create_caller(0);

    let mut last = None;
    for vm in rig.vm_specs.iter().chain(&rig.vm_specs) {
        let started_at = Instant::now();
        let record = caller.send_to(&vm.caller_url(), &poison, "token", 0).await;
        last = Some((record, started_at.elapsed()));
    }

    let runs = rig.fetch_runs().await.unwrap();
    let crashed_targets: BTreeSet<&str> = runs
        .iter()
        .filter(|run| run.path.contains("poison"))
        .map(|run| run.target.as_str())
        .collect();
    let (record, elapsed) = last.unwrap();
    assert!(crashed_targets.len() <= 2, "{crashed_targets:?}");
    assert_eq!(record.reason, "quarantined");
    assert!(record.retry_after_ms > 1000, "{record:?}");
    assert!(
        elapsed < poison.timeout,
        "not refused before its timeout: {elapsed:?}"
    );
}

/// Guards against requests with one content that are refused as each of them counts the crash which another
/// request has caused under them.
#[actix_rt::test]
async fn requests_beside_a_poison_request_are_not_quarantined() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let busy = Behaviour {
        service_ms: 300.0,
        ..with_fault(Fault::None)
    };
    rig.set_target_behaviour("racegate", busy).await.unwrap();
    let same = Request {
        token: Some("same".to_owned()),
        max_sends: 1,
        ..claim_request()
    };
    let poison = Request {
        path: "/results/poison".to_owned(),
        ..results_request()
    };

    let load = LoadGenerator::start(rig.create_callers(12), &[same], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    rig.create_caller(0)
        .send_to(&rig.vm_specs[0].caller_url(), &poison, "token", 0)
        .await;
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let records = load.stop().await;

    let quarantined = records.iter().filter(|r| r.reason == "quarantined");
    assert_eq!(quarantined.count(), 0, "of {}", records.len());
}

#[actix_rt::test]
async fn poison_claim_under_new_keys_crashes_at_most_two_targets() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let poison = Request {
        path: "/claims/poison".to_owned(),
        token: Some("same".to_owned()),
        ..claim_request()
    };
    let caller = rig.create_caller(0);

    let mut statuses = Vec::new();
    for vm in rig.vm_specs.iter().chain(&rig.vm_specs) {
        statuses.push(
            caller
                .send_to(&vm.caller_url(), &poison, &new_idempotency_key(), 0)
                .await
                .status,
        );
    }

    let runs = rig.fetch_runs().await.unwrap();
    let run_count = runs
        .iter()
        .filter(|run| run.path.contains("poison"))
        .count();
    assert!(run_count <= 2, "{run_count}");
    assert_eq!(statuses.last(), Some(&Status::NotRun), "{statuses:?}");
}

/// Only a refusal of a request that may succeed later carries a retry delay.
#[actix_rt::test]
async fn permanent_refusal_has_no_retry_delay() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let unknown_operation = Request {
        path: "/nothing/7".to_owned(),
        ..bib_request()
    };

    let record = rig
        .create_caller(0)
        .send_to(
            &rig.vm_specs[0].caller_url(),
            &unknown_operation,
            "token",
            0,
        )
        .await;

    assert_eq!(record.reason, "unknown-operation");
    assert_eq!(record.retry_after_ms, 0, "{record:?}");
}

#[actix_rt::test]
async fn response_with_two_content_lengths_is_not_forwarded() {
    let rig = Rig::start(Options::default()).await.unwrap();
    rig.set_target_behaviour("payline", with_fault(Fault::TwoLengths))
        .await
        .unwrap();

    let refund = rig
        .create_caller(0)
        .send_to(
            &rig.vm_specs[0].caller_url(),
            &refund_request(),
            &new_idempotency_key(),
            0,
        )
        .await;

    assert_eq!(refund.status, Status::MayHaveRun, "{refund:?}");
}

/// Guards against a status that is none, or that of no final response, which callers get as their response.
#[actix_rt::test]
async fn status_that_is_no_response_is_not_passed_on() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let caller = rig.create_caller(0);
    let url = rig.vm_specs[0].caller_url();

    let mut passed_on = Vec::new();
    for status in [0, 1, 99, 101, 150, 199, 600, 700, 999, 1000] {
        for (service, request) in [("payline", refund_request()), ("bibdesk", bib_request())] {
            rig.set_target_behaviour(service, with_fault(Fault::Status(status)))
                .await
                .unwrap();
            let record = caller
                .send_to(&url, &request, &new_idempotency_key(), 0)
                .await;
            if ![Status::MayHaveRun, Status::NotRun].contains(&record.status) {
                passed_on.push((status, record));
            }
        }
    }

    assert!(passed_on.is_empty(), "{passed_on:#?}");
}

/// A truncated response is not a crash of the target, so it must not count against the request.
#[actix_rt::test]
async fn request_with_truncated_responses_is_not_quarantined() {
    let rig = Rig::start(Options::default()).await.unwrap();
    rig.set_target_behaviour("bibdesk", with_fault(Fault::CutResponses))
        .await
        .unwrap();
    let request = Request {
        token: Some("same".to_owned()),
        ..bib_request()
    };
    let caller = rig.create_caller(0);

    let mut reasons = Vec::new();
    for vm in rig.vm_specs.iter().chain(&rig.vm_specs) {
        reasons.push(
            caller
                .send_to(&vm.caller_url(), &request, "token", 0)
                .await
                .reason,
        );
    }
    rig.set_target_behaviour("bibdesk", with_fault(Fault::None))
        .await
        .unwrap();
    let after_recovery = caller
        .send_to(&rig.vm_specs[0].caller_url(), &request, "token", 0)
        .await;

    assert!(!reasons.contains(&"quarantined".to_owned()), "{reasons:?}");
    assert_ne!(after_recovery.reason, "quarantined", "{after_recovery:?}");
}
