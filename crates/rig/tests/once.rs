//! At most once, under kills, freezes and lost answers.

mod common;

use {
    common::{claim, new_key, refund, runs_of},
    rig::{Options, Rig, wait_until},
    stand::{
        caller::{Request, Status},
        fault::{FaultConfig, Mode},
        platform::Fault,
    },
    std::time::Duration,
};

const LIMIT: Duration = Duration::from_secs(20);

fn slow() -> Options {
    Options {
        mean_service_ms: 600.0,
        use_fault_proxy: true,
        ..Options::default()
    }
}

/// Sends a key to every VM but one, as a caller that lost sight of its first send.
async fn resend_everywhere(rig: &Rig, plan: &Request, key: &str, except: usize) -> Vec<Status> {
    let caller = rig.create_caller(0);
    let mut told = Vec::new();
    for (index, place) in rig.vm_specs.iter().enumerate() {
        if index != except {
            told.push(
                caller
                    .send_to(&place.caller_url(), plan, key, 1)
                    .await
                    .status,
            );
        }
    }
    told
}

#[actix_rt::test]
async fn key_runs_once_when_its_vm_is_killed_while_the_upstream_runs_it() {
    let mut rig = Rig::start(slow()).await.unwrap();
    let owner = rig.find_owner("racegate", "pasig").await.unwrap();
    let (caller, url, key) = (
        rig.create_caller(0),
        rig.vm_specs[owner].caller_url(),
        new_key(),
    );
    let first = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &claim(), &key, 0).await })
    };
    wait_until("the run", LIMIT, || async {
        runs_of(&rig, &key).await == 1
    })
    .await
    .unwrap();

    rig.vm_processes[owner].kill();
    let told = resend_everywhere(&rig, &claim(), &key, owner).await;

    assert_eq!(first.await.unwrap().status, Status::NoAnswer);
    assert_eq!(runs_of(&rig, &key).await, 1);
    assert!(
        told.iter().all(|told| *told == Status::MayHaveRun),
        "{told:?}"
    );
}

#[actix_rt::test]
async fn key_runs_once_when_its_vm_is_killed_before_dispatch() {
    let mut rig = Rig::start(slow()).await.unwrap();
    let owner = rig.find_owner("payline", "pasig").await.unwrap();
    let (caller, url, key) = (
        rig.create_caller(0),
        rig.vm_specs[owner].caller_url(),
        new_key(),
    );
    let late = Fault {
        delay_ms: 700,
        ..Fault::default()
    };
    rig.set_platform_fault(&late).await.unwrap();
    let first = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &refund(), &key, 0).await })
    };
    actix_rt::time::sleep(Duration::from_millis(200)).await;

    rig.vm_processes[owner].kill();
    assert_eq!(first.await.unwrap().status, Status::NoAnswer);
    rig.set_platform_fault(&Fault::default()).await.unwrap();
    let told = resend_everywhere(&rig, &refund(), &key, owner).await;

    assert!(runs_of(&rig, &key).await <= 1);
    assert!(!told.contains(&Status::NotRun), "{told:?}");
    assert!(!told.contains(&Status::WrongAnswer), "{told:?}");
}

#[actix_rt::test]
async fn answer_lost_on_its_way_is_given_again_and_nothing_runs_twice() {
    let rig = Rig::start(slow()).await.unwrap();
    let owner = rig.find_owner("racegate", "pasig").await.unwrap();
    let entry = (owner + 1) % rig.vm_specs.len();
    let route = format!("{}>{}", rig.vm_specs[entry].name, rig.vm_specs[owner].name);
    let (caller, key) = (rig.create_caller(0), new_key());
    let drop = FaultConfig {
        mode: Mode::DropAnswer,
        ..FaultConfig::default()
    };
    rig.set_route_fault(&route, drop).await.unwrap();

    let first = caller
        .send_to(&rig.vm_specs[entry].caller_url(), &claim(), &key, 0)
        .await;
    rig.set_route_fault(&route, FaultConfig::default())
        .await
        .unwrap();
    wait_until("the run", LIMIT, || async {
        runs_of(&rig, &key).await == 1
    })
    .await
    .unwrap();
    let again = || async {
        let record = caller
            .send_to(&rig.vm_specs[owner].caller_url(), &claim(), &key, 1)
            .await;
        record.status == Status::Answered && record.replayed
    };
    wait_until("the answer again", LIMIT, again).await.unwrap();

    assert_eq!(first.status, Status::MayHaveRun, "{first:?}");
    assert_eq!(runs_of(&rig, &key).await, 1);
}

#[actix_rt::test]
async fn frozen_vm_that_wakes_does_not_run_a_key_that_another_took() {
    let rig = Rig::start(slow()).await.unwrap();
    let owner = rig.find_owner("racegate", "pasig").await.unwrap();
    let (caller, url, key) = (
        rig.create_caller(0),
        rig.vm_specs[owner].caller_url(),
        new_key(),
    );

    rig.vm_processes[owner].freeze();
    let waiting = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &claim(), &key, 0).await })
    };
    let moved = || async {
        rig.find_owner_seen_by_others("racegate", "pasig", owner)
            .await
            != Some(owner)
    };
    wait_until("the takeover", LIMIT, moved).await.unwrap();
    let told = resend_everywhere(&rig, &claim(), &key, owner).await;
    rig.vm_processes[owner].resume();
    wait_until("the wake", LIMIT, || async {
        rig.admin.is_ready(&rig.vm_specs[owner]).await
    })
    .await
    .unwrap();
    let late = waiting.await.unwrap();
    let after = rig
        .create_caller(0)
        .send_to(&rig.vm_specs[owner].caller_url(), &claim(), &key, 1)
        .await;

    assert!(told.contains(&Status::Answered), "{told:?}");
    assert_eq!(runs_of(&rig, &key).await, 1, "{late:?} {after:?}");
    assert!(after.replayed, "{after:?}");
}

#[actix_rt::test]
async fn vm_frozen_with_work_at_the_upstream_never_runs_it_again() {
    let rig = Rig::start(slow()).await.unwrap();
    let owner = rig.find_owner("payline", "cebu").await.unwrap();
    let (caller, url, key) = (
        rig.create_caller(1),
        rig.vm_specs[owner].caller_url(),
        new_key(),
    );
    let first = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &refund(), &key, 0).await })
    };
    wait_until("the run", LIMIT, || async {
        runs_of(&rig, &key).await == 1
    })
    .await
    .unwrap();

    rig.vm_processes[owner].freeze();
    let told = resend_everywhere(&rig, &refund(), &key, owner).await;
    let moved = || async {
        rig.find_owner_seen_by_others("payline", "cebu", owner)
            .await
            != Some(owner)
    };
    wait_until("the takeover", LIMIT, moved).await.unwrap();
    rig.vm_processes[owner].resume();
    let _ = first.await.unwrap();
    let answered = || async {
        let place = &rig.vm_specs[(owner + 1) % rig.vm_specs.len()];
        let record = rig
            .create_caller(1)
            .send_to(&place.caller_url(), &refund(), &key, 1)
            .await;
        record.status == Status::Answered
    };
    wait_until("the recorded answer", LIMIT, answered)
        .await
        .unwrap();

    assert!(
        told.iter().all(|told| *told == Status::MayHaveRun),
        "{told:?}"
    );
    assert_eq!(runs_of(&rig, &key).await, 1);
}

#[actix_rt::test]
async fn refused_claim_whose_answer_is_lost_does_not_run() {
    let rig = Rig::start(slow()).await.unwrap();
    let key = new_key();
    let first = {
        let (caller, url, key) = (
            rig.create_caller(0),
            rig.vm_specs[0].caller_url(),
            key.clone(),
        );
        actix_rt::spawn(async move { caller.send_to(&url, &refund(), &key, 0).await })
    };
    wait_until("the run", LIMIT, || async {
        runs_of(&rig, &key).await == 1
    })
    .await
    .unwrap();
    let lose = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    rig.set_platform_fault(&lose).await.unwrap();

    let second = rig
        .create_caller(1)
        .send_to(&rig.vm_specs[1].caller_url(), &refund(), &key, 1)
        .await;

    assert_eq!(first.await.unwrap().status, Status::Answered);
    assert_ne!(second.status, Status::NotRun, "{second:?}");
    assert_eq!(runs_of(&rig, &key).await, 1);
}

#[actix_rt::test]
async fn same_key_to_all_vms_at_once_runs_once() {
    let rig = Rig::start(slow()).await.unwrap();
    let key = new_key();
    let sends = rig.vm_specs.iter().map(|place| {
        let (caller, url, key) = (rig.create_caller(0), place.caller_url(), key.clone());
        async move { caller.send_to(&url, &claim(), &key, 1).await.status }
    });

    let told = futures_util::future::join_all(sends).await;

    assert_eq!(runs_of(&rig, &key).await, 1);
    assert!(told.contains(&Status::Answered), "{told:?}");
    assert!(!told.contains(&Status::NotRun), "{told:?}");
}

#[actix_rt::test]
async fn key_used_for_another_request_does_not_run() {
    let rig = Rig::start(slow()).await.unwrap();
    let (caller, key) = (rig.create_caller(0), new_key());
    let other = Request {
        path: "/claims/other".to_owned(),
        ..claim()
    };

    let first = caller
        .send_to(&rig.vm_specs[0].caller_url(), &claim(), &key, 0)
        .await;
    let second = caller
        .send_to(&rig.vm_specs[1].caller_url(), &other, &key, 0)
        .await;

    assert_eq!(first.status, Status::Answered);
    assert_eq!(
        (second.status, second.reason.as_str()),
        (Status::NotRun, "key-reused")
    );
    assert_eq!(runs_of(&rig, &key).await, 1);
}
