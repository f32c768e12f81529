//! Whole and own answers, whatever targets and connections do.

mod common;

use {
    common::{claim, lookup_bib, new_key, refund, runs_of},
    rig::{Audit, Load, Options, Rig},
    stand::{
        caller::{Request, Status},
        upstream::{Behaviour, Fault},
    },
    std::{
        collections::BTreeSet,
        time::{Duration, Instant},
    },
};

const PAUSE: Duration = Duration::from_millis(10);

fn failing(fault: Fault) -> Behaviour {
    Behaviour {
        service_ms: 30.0,
        fault,
        restart_ms: 1000,
    }
}

#[actix_rt::test]
async fn answer_cut_short_is_never_passed_on() {
    let rig = Rig::start(Options::default()).await.unwrap();
    rig.set_target_behaviour("payline", failing(Fault::CutAnswers))
        .await
        .unwrap();
    rig.set_target_behaviour("bibdesk-pasig-a-1", failing(Fault::CutAnswers))
        .await
        .unwrap();
    let key = new_key();

    let claimed = rig
        .create_caller(0)
        .send_to(&rig.vm_specs[0].caller_url(), &refund(), &key, 0)
        .await;
    let load = Load::start(rig.create_callers(3), &[lookup_bib()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let records = load.stop().await;

    assert_eq!(claimed.status, Status::MayHaveRun, "{claimed:?}");
    assert_eq!(runs_of(&rig, &key).await, 1);
    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert_eq!(audit.answered, audit.sent, "{audit:?}");
}

#[actix_rt::test]
async fn every_caller_gets_its_own_answer_while_answers_come_late() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let slow = Behaviour {
        service_ms: 400.0,
        ..failing(Fault::None)
    };
    rig.set_target_behaviour("bibdesk", slow).await.unwrap();
    let hasty = Request {
        timeout: Duration::from_millis(450),
        ..lookup_bib()
    };
    let load = Load::start(
        rig.create_callers(12),
        &[hasty, lookup_bib(), claim()],
        PAUSE,
    );
    actix_rt::time::sleep(Duration::from_secs(4)).await;

    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert!(audit.answered > 0, "{audit:?}");
}

#[actix_rt::test]
async fn silent_target_costs_a_retry_and_no_answer() {
    let rig = Rig::start(Options::default()).await.unwrap();
    rig.set_target_behaviour("bibdesk-pasig-a-1", failing(Fault::Silent))
        .await
        .unwrap();
    let load = Load::start(rig.create_callers(3), &[lookup_bib()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(4)).await;

    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert_eq!(audit.answered, audit.sent, "{audit:?}");
}

#[actix_rt::test]
async fn connections_that_go_silent_cost_no_answer_while_new_ones_work() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let crowd = Load::start(rig.create_callers(60), &[lookup_bib()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    crowd.stop().await;
    rig.set_target_behaviour("", failing(Fault::SilenceOpen))
        .await
        .unwrap();

    let load = Load::start(rig.create_callers(3), &[lookup_bib()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    let again: Vec<_> = records
        .iter()
        .filter(|r| r.status != Status::Answered || r.sends > 1)
        .collect();
    assert!(again.is_empty(), "{again:#?}");
}

#[actix_rt::test]
async fn target_that_is_down_proves_that_a_claim_did_not_run() {
    let rig = Rig::start(Options::default()).await.unwrap();
    rig.set_target_behaviour("payline-pasig-a-1", failing(Fault::Down))
        .await
        .unwrap();
    rig.set_target_behaviour("payline-pasig-a-2", failing(Fault::Shed))
        .await
        .unwrap();
    let load = Load::start(rig.create_callers(3), &[refund()], PAUSE);
    actix_rt::time::sleep(Duration::from_secs(2)).await;

    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert_eq!(audit.answered, audit.sent, "{audit:?}");
}

#[actix_rt::test]
async fn poison_request_crashes_at_most_two_targets_and_is_refused_at_once() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let poison = Request {
        path: "/bibs/poison".to_owned(),
        ..lookup_bib()
    };
    let caller = rig.create_caller(0);

    let mut last = None;
    for place in rig.vm_specs.iter().chain(&rig.vm_specs) {
        let start = Instant::now();
        let record = caller
            .send_to(&place.caller_url(), &poison, "token", 0)
            .await;
        last = Some((record, start.elapsed()));
    }

    let runs = rig.fetch_runs().await.unwrap();
    let crashed: BTreeSet<&str> = runs
        .iter()
        .filter(|run| run.path.contains("poison"))
        .map(|run| run.target.as_str())
        .collect();
    let (record, took) = last.unwrap();
    assert!(crashed.len() <= 2, "{crashed:?}");
    assert_eq!(record.reason, "quarantined");
    assert!(record.retry_after_ms > 1000, "{record:?}");
    assert!(took < poison.timeout, "held to its deadline: {took:?}");
}

#[actix_rt::test]
async fn poison_claim_under_new_keys_crashes_at_most_two_targets() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let poison = Request {
        path: "/claims/poison".to_owned(),
        token: Some("same".to_owned()),
        ..claim()
    };
    let caller = rig.create_caller(0);

    let mut told = Vec::new();
    for place in rig.vm_specs.iter().chain(&rig.vm_specs) {
        told.push(
            caller
                .send_to(&place.caller_url(), &poison, &new_key(), 0)
                .await
                .status,
        );
    }

    let runs = rig.fetch_runs().await.unwrap();
    let ran = runs
        .iter()
        .filter(|run| run.path.contains("poison"))
        .count();
    assert!(ran <= 2, "{ran}");
    assert_eq!(told.last(), Some(&Status::NotRun), "{told:?}");
}

/// A time to come back belongs only to what may succeed later.
#[actix_rt::test]
async fn request_that_can_never_be_served_gets_no_time_to_come_back() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let unknown = Request {
        path: "/nothing/7".to_owned(),
        ..lookup_bib()
    };

    let record = rig
        .create_caller(0)
        .send_to(&rig.vm_specs[0].caller_url(), &unknown, "token", 0)
        .await;

    assert_eq!(record.reason, "unknown-operation");
    assert_eq!(record.retry_after_ms, 0, "{record:?}");
}

#[actix_rt::test]
async fn answer_with_two_lengths_is_never_passed_on() {
    let rig = Rig::start(Options::default()).await.unwrap();
    rig.set_target_behaviour("payline", failing(Fault::TwoLengths))
        .await
        .unwrap();

    let claimed = rig
        .create_caller(0)
        .send_to(&rig.vm_specs[0].caller_url(), &refund(), &new_key(), 0)
        .await;

    assert_eq!(claimed.status, Status::MayHaveRun, "{claimed:?}");
}

/// A broken answer is no crash of its target: the request itself is sound.
#[actix_rt::test]
async fn request_whose_answers_are_cut_is_not_quarantined() {
    let rig = Rig::start(Options::default()).await.unwrap();
    rig.set_target_behaviour("bibdesk", failing(Fault::CutAnswers))
        .await
        .unwrap();
    let same = Request {
        token: Some("same".to_owned()),
        ..lookup_bib()
    };
    let caller = rig.create_caller(0);

    let mut told = Vec::new();
    for place in rig.vm_specs.iter().chain(&rig.vm_specs) {
        told.push(
            caller
                .send_to(&place.caller_url(), &same, "token", 0)
                .await
                .reason,
        );
    }
    rig.set_target_behaviour("bibdesk", failing(Fault::None))
        .await
        .unwrap();
    let sound = caller
        .send_to(&rig.vm_specs[0].caller_url(), &same, "token", 0)
        .await;

    assert!(!told.contains(&"quarantined".to_owned()), "{told:?}");
    assert_ne!(sound.reason, "quarantined", "{sound:?}");
}
