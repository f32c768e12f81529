//! At-most-once execution of requests with an idempotency key, during kills, freezes and lost
//! responses.

mod common;

use {
    common::{claim_request, count_runs, new_idempotency_key, refund_request},
    rig::{Options, Rig, wait_until},
    stand::{
        caller::{Request, Status},
        fault::{FaultConfig, Mode},
        platform,
    },
    std::time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(20);

fn with_slow_targets() -> Options {
    Options {
        mean_service_ms: 600.0,
        use_fault_proxy: true,
        ..Options::default()
    }
}

/// Sends a request with its key to all other VMs, marked as a resend, and returns their outcomes.
///
/// A caller does so when it does not know the outcome of its first send.
async fn resend_to_others(rig: &Rig, request: &Request, key: &str, excluded: usize) -> Vec<Status> {
    let caller = rig.create_caller(0);
    let mut statuses = Vec::new();
    for (index, vm) in rig.vm_specs.iter().enumerate() {
        if index != excluded {
            statuses.push(
                caller
                    .send_to(&vm.caller_url(), request, key, 1)
                    .await
                    .status,
            );
        }
    }
    statuses
}

#[actix_rt::test]
async fn key_runs_once_when_its_vm_is_killed_during_the_run() {
    let mut rig = Rig::start(with_slow_targets()).await.unwrap();
    let owner = rig.find_owner("racegate", "pasig").await.unwrap();
    let (caller, url, key) = (
        rig.create_caller(0),
        rig.vm_specs[owner].caller_url(),
        new_idempotency_key(),
    );
    let first = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &claim_request(), &key, 0).await })
    };
    wait_until("run of the key", TIMEOUT, || async {
        count_runs(&rig, &key).await == 1
    })
    .await
    .unwrap();

    rig.vm_processes[owner].kill();
    let statuses = resend_to_others(&rig, &claim_request(), &key, owner).await;

    assert_eq!(first.await.unwrap().status, Status::NoResponse);
    assert_eq!(count_runs(&rig, &key).await, 1);
    assert!(
        statuses.iter().all(|status| *status == Status::MayHaveRun),
        "{statuses:?}"
    );
}

#[actix_rt::test]
async fn key_runs_at_most_once_when_its_vm_is_killed_before_dispatch() {
    let mut rig = Rig::start(with_slow_targets()).await.unwrap();
    let owner = rig.find_owner("payline", "pasig").await.unwrap();
    let (caller, url, key) = (
        rig.create_caller(0),
        rig.vm_specs[owner].caller_url(),
        new_idempotency_key(),
    );
    let delayed = platform::FaultConfig {
        delay_ms: 700,
        ..platform::FaultConfig::default()
    };
    rig.set_platform_fault(&delayed).await.unwrap();
    let first = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &refund_request(), &key, 0).await })
    };
    actix_rt::time::sleep(Duration::from_millis(200)).await;

    rig.vm_processes[owner].kill();
    assert_eq!(first.await.unwrap().status, Status::NoResponse);
    rig.set_platform_fault(&platform::FaultConfig::default())
        .await
        .unwrap();
    let statuses = resend_to_others(&rig, &refund_request(), &key, owner).await;

    assert!(count_runs(&rig, &key).await <= 1);
    assert!(!statuses.contains(&Status::NotRun), "{statuses:?}");
    assert!(!statuses.contains(&Status::WrongResponse), "{statuses:?}");
}

#[actix_rt::test]
async fn response_lost_between_vms_is_replayed_without_a_second_run() {
    let rig = Rig::start(with_slow_targets()).await.unwrap();
    let owner = rig.find_owner("racegate", "pasig").await.unwrap();
    let entry = (owner + 1) % rig.vm_specs.len();
    let route = format!("{}>{}", rig.vm_specs[entry].name, rig.vm_specs[owner].name);
    let (caller, key) = (rig.create_caller(0), new_idempotency_key());
    let drop_response = FaultConfig {
        mode: Mode::DropResponse,
        ..FaultConfig::default()
    };
    rig.set_proxy_fault(&route, drop_response).await.unwrap();

    let first = caller
        .send_to(&rig.vm_specs[entry].caller_url(), &claim_request(), &key, 0)
        .await;
    rig.set_proxy_fault(&route, FaultConfig::default())
        .await
        .unwrap();
    wait_until("run of the key", TIMEOUT, || async {
        count_runs(&rig, &key).await == 1
    })
    .await
    .unwrap();
    let is_replayed = || async {
        let record = caller
            .send_to(&rig.vm_specs[owner].caller_url(), &claim_request(), &key, 1)
            .await;
        record.status == Status::Answered && record.replayed
    };
    wait_until("replayed response", TIMEOUT, is_replayed)
        .await
        .unwrap();

    assert_eq!(first.status, Status::MayHaveRun, "{first:?}");
    assert_eq!(count_runs(&rig, &key).await, 1);
}

#[actix_rt::test]
async fn resumed_vm_does_not_run_a_key_that_another_vm_claimed() {
    let rig = Rig::start(with_slow_targets()).await.unwrap();
    let owner = rig.find_owner("racegate", "pasig").await.unwrap();
    let (caller, url, key) = (
        rig.create_caller(0),
        rig.vm_specs[owner].caller_url(),
        new_idempotency_key(),
    );

    rig.vm_processes[owner].freeze();
    let first = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &claim_request(), &key, 0).await })
    };
    let has_moved = || async {
        rig.find_owner_seen_by_others("racegate", "pasig", owner)
            .await
            != Some(owner)
    };
    wait_until("takeover of the pool", TIMEOUT, has_moved)
        .await
        .unwrap();
    let statuses = resend_to_others(&rig, &claim_request(), &key, owner).await;
    rig.vm_processes[owner].resume();
    wait_until("resumed VM", TIMEOUT, || async {
        rig.admin.is_ready(&rig.vm_specs[owner]).await
    })
    .await
    .unwrap();
    let first = first.await.unwrap();
    let resent = rig
        .create_caller(0)
        .send_to(&rig.vm_specs[owner].caller_url(), &claim_request(), &key, 1)
        .await;

    assert!(statuses.contains(&Status::Answered), "{statuses:?}");
    assert_eq!(count_runs(&rig, &key).await, 1, "{first:?} {resent:?}");
    assert!(resent.replayed, "{resent:?}");
}

#[actix_rt::test]
async fn key_runs_once_when_its_vm_is_frozen_during_the_run() {
    let rig = Rig::start(with_slow_targets()).await.unwrap();
    let owner = rig.find_owner("payline", "cebu").await.unwrap();
    let (caller, url, key) = (
        rig.create_caller(1),
        rig.vm_specs[owner].caller_url(),
        new_idempotency_key(),
    );
    let first = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &refund_request(), &key, 0).await })
    };
    wait_until("run of the key", TIMEOUT, || async {
        count_runs(&rig, &key).await == 1
    })
    .await
    .unwrap();

    rig.vm_processes[owner].freeze();
    let statuses = resend_to_others(&rig, &refund_request(), &key, owner).await;
    let has_moved = || async {
        rig.find_owner_seen_by_others("payline", "cebu", owner)
            .await
            != Some(owner)
    };
    wait_until("takeover of the pool", TIMEOUT, has_moved)
        .await
        .unwrap();
    rig.vm_processes[owner].resume();
    let _ = first.await.unwrap();
    let is_answered = || async {
        let vm = &rig.vm_specs[(owner + 1) % rig.vm_specs.len()];
        let record = rig
            .create_caller(1)
            .send_to(&vm.caller_url(), &refund_request(), &key, 1)
            .await;
        record.status == Status::Answered
    };
    wait_until("recorded response", TIMEOUT, is_answered)
        .await
        .unwrap();

    assert!(
        statuses.iter().all(|status| *status == Status::MayHaveRun),
        "{statuses:?}"
    );
    assert_eq!(count_runs(&rig, &key).await, 1);
}

#[actix_rt::test]
async fn duplicate_does_not_run_when_the_response_to_its_commit_is_lost() {
    let rig = Rig::start(with_slow_targets()).await.unwrap();
    let key = new_idempotency_key();
    let first = {
        let (caller, url, key) = (
            rig.create_caller(0),
            rig.vm_specs[0].caller_url(),
            key.clone(),
        );
        actix_rt::spawn(async move { caller.send_to(&url, &refund_request(), &key, 0).await })
    };
    wait_until("run of the key", TIMEOUT, || async {
        count_runs(&rig, &key).await == 1
    })
    .await
    .unwrap();
    let lost_response = platform::FaultConfig {
        lose_responses: 1,
        ..platform::FaultConfig::default()
    };
    rig.set_platform_fault(&lost_response).await.unwrap();

    let second = rig
        .create_caller(1)
        .send_to(&rig.vm_specs[1].caller_url(), &refund_request(), &key, 1)
        .await;

    assert_eq!(first.await.unwrap().status, Status::Answered);
    assert_ne!(second.status, Status::NotRun, "{second:?}");
    assert_eq!(count_runs(&rig, &key).await, 1);
}

#[actix_rt::test]
async fn key_sent_to_all_vms_concurrently_runs_once() {
    let rig = Rig::start(with_slow_targets()).await.unwrap();
    let key = new_idempotency_key();
    let sends = rig.vm_specs.iter().map(|vm| {
        let (caller, url, key) = (rig.create_caller(0), vm.caller_url(), key.clone());
        async move { caller.send_to(&url, &claim_request(), &key, 1).await.status }
    });

    let statuses = futures_util::future::join_all(sends).await;

    assert_eq!(count_runs(&rig, &key).await, 1);
    assert!(statuses.contains(&Status::Answered), "{statuses:?}");
    assert!(!statuses.contains(&Status::NotRun), "{statuses:?}");
}

#[actix_rt::test]
async fn key_reused_for_another_request_is_refused() {
    let rig = Rig::start(with_slow_targets()).await.unwrap();
    let (caller, key) = (rig.create_caller(0), new_idempotency_key());
    let other_request = Request {
        path: "/claims/other".to_owned(),
        ..claim_request()
    };

    let first = caller
        .send_to(&rig.vm_specs[0].caller_url(), &claim_request(), &key, 0)
        .await;
    let second = caller
        .send_to(&rig.vm_specs[1].caller_url(), &other_request, &key, 0)
        .await;

    assert_eq!(first.status, Status::Answered);
    assert_eq!(
        (second.status, second.reason.as_str()),
        (Status::NotRun, "key-reused")
    );
    assert_eq!(count_runs(&rig, &key).await, 1);
}
