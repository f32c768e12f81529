//! At most once, under kills, freezes and lost answers.

mod common;

use {
    common::{claim, new_key, refund, runs_of},
    rig::{Options, Rig, until},
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
        service_ms: 600.0,
        faults: true,
        ..Options::default()
    }
}

/// Sends a key to every VM but one, as a caller that lost sight of its first send.
async fn resend_everywhere(rig: &Rig, plan: &Request, key: &str, except: usize) -> Vec<Status> {
    let caller = rig.caller(0);
    let mut told = Vec::new();
    for (index, place) in rig.places.iter().enumerate() {
        if index != except {
            told.push(caller.send_to(&place.url(), plan, key, 1).await.status);
        }
    }
    told
}

#[actix_rt::test]
async fn key_runs_once_when_its_vm_is_killed_while_the_upstream_runs_it() {
    let mut rig = Rig::start(slow()).await.unwrap();
    let owner = rig.owner("racegate", "pasig").await.unwrap();
    let (caller, url, key) = (rig.caller(0), rig.places[owner].url(), new_key());
    let first = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &claim(), &key, 0).await })
    };
    until("the run", LIMIT, || async {
        runs_of(&rig, &key).await == 1
    })
    .await
    .unwrap();

    rig.vms[owner].kill();
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
    let owner = rig.owner("payline", "pasig").await.unwrap();
    let (caller, url, key) = (rig.caller(0), rig.places[owner].url(), new_key());
    let late = Fault {
        delay_ms: 700,
        ..Fault::default()
    };
    rig.platform_fault(&late).await.unwrap();
    let first = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &refund(), &key, 0).await })
    };
    actix_rt::time::sleep(Duration::from_millis(200)).await;

    rig.vms[owner].kill();
    assert_eq!(first.await.unwrap().status, Status::NoAnswer);
    rig.platform_fault(&Fault::default()).await.unwrap();
    let told = resend_everywhere(&rig, &refund(), &key, owner).await;

    assert!(runs_of(&rig, &key).await <= 1);
    assert!(!told.contains(&Status::NotRun), "{told:?}");
    assert!(!told.contains(&Status::WrongAnswer), "{told:?}");
}

#[actix_rt::test]
async fn answer_lost_on_its_way_is_given_again_and_nothing_runs_twice() {
    let rig = Rig::start(slow()).await.unwrap();
    let owner = rig.owner("racegate", "pasig").await.unwrap();
    let entry = (owner + 1) % rig.places.len();
    let route = format!("{}>{}", rig.places[entry].name, rig.places[owner].name);
    let (caller, key) = (rig.caller(0), new_key());
    let drop = FaultConfig {
        mode: Mode::DropAnswer,
        ..FaultConfig::default()
    };
    rig.route_fault(&route, drop).await.unwrap();

    let first = caller
        .send_to(&rig.places[entry].url(), &claim(), &key, 0)
        .await;
    rig.route_fault(&route, FaultConfig::default())
        .await
        .unwrap();
    until("the run", LIMIT, || async {
        runs_of(&rig, &key).await == 1
    })
    .await
    .unwrap();
    let again = || async {
        let record = caller
            .send_to(&rig.places[owner].url(), &claim(), &key, 1)
            .await;
        record.status == Status::Answered && record.replayed
    };
    until("the answer again", LIMIT, again).await.unwrap();

    assert_eq!(first.status, Status::MayHaveRun, "{first:?}");
    assert_eq!(runs_of(&rig, &key).await, 1);
}

#[actix_rt::test]
async fn frozen_vm_that_wakes_does_not_run_a_key_that_another_took() {
    let rig = Rig::start(slow()).await.unwrap();
    let owner = rig.owner("racegate", "pasig").await.unwrap();
    let (caller, url, key) = (rig.caller(0), rig.places[owner].url(), new_key());

    rig.vms[owner].freeze();
    let waiting = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &claim(), &key, 0).await })
    };
    let moved =
        || async { rig.owner_seen_by_others("racegate", "pasig", owner).await != Some(owner) };
    until("the takeover", LIMIT, moved).await.unwrap();
    let told = resend_everywhere(&rig, &claim(), &key, owner).await;
    rig.vms[owner].resume();
    until("the wake", LIMIT, || async {
        rig.admin.ready(&rig.places[owner]).await
    })
    .await
    .unwrap();
    let late = waiting.await.unwrap();
    let after = rig
        .caller(0)
        .send_to(&rig.places[owner].url(), &claim(), &key, 1)
        .await;

    assert!(told.contains(&Status::Answered), "{told:?}");
    assert_eq!(runs_of(&rig, &key).await, 1, "{late:?} {after:?}");
    assert!(after.replayed, "{after:?}");
}

#[actix_rt::test]
async fn vm_frozen_with_work_at_the_upstream_never_runs_it_again() {
    let rig = Rig::start(slow()).await.unwrap();
    let owner = rig.owner("payline", "cebu").await.unwrap();
    let (caller, url, key) = (rig.caller(1), rig.places[owner].url(), new_key());
    let first = {
        let key = key.clone();
        actix_rt::spawn(async move { caller.send_to(&url, &refund(), &key, 0).await })
    };
    until("the run", LIMIT, || async {
        runs_of(&rig, &key).await == 1
    })
    .await
    .unwrap();

    rig.vms[owner].freeze();
    let told = resend_everywhere(&rig, &refund(), &key, owner).await;
    let moved =
        || async { rig.owner_seen_by_others("payline", "cebu", owner).await != Some(owner) };
    until("the takeover", LIMIT, moved).await.unwrap();
    rig.vms[owner].resume();
    let _ = first.await.unwrap();
    let answered = || async {
        let place = &rig.places[(owner + 1) % rig.places.len()];
        let record = rig
            .caller(1)
            .send_to(&place.url(), &refund(), &key, 1)
            .await;
        record.status == Status::Answered
    };
    until("the recorded answer", LIMIT, answered).await.unwrap();

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
        let (caller, url, key) = (rig.caller(0), rig.places[0].url(), key.clone());
        actix_rt::spawn(async move { caller.send_to(&url, &refund(), &key, 0).await })
    };
    until("the run", LIMIT, || async {
        runs_of(&rig, &key).await == 1
    })
    .await
    .unwrap();
    let lose = Fault {
        lose_answers: 1,
        ..Fault::default()
    };
    rig.platform_fault(&lose).await.unwrap();

    let second = rig
        .caller(1)
        .send_to(&rig.places[1].url(), &refund(), &key, 1)
        .await;

    assert_eq!(first.await.unwrap().status, Status::Answered);
    assert_ne!(second.status, Status::NotRun, "{second:?}");
    assert_eq!(runs_of(&rig, &key).await, 1);
}

#[actix_rt::test]
async fn same_key_to_all_vms_at_once_runs_once() {
    let rig = Rig::start(slow()).await.unwrap();
    let key = new_key();
    let sends = rig.places.iter().map(|place| {
        let (caller, url, key) = (rig.caller(0), place.url(), key.clone());
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
    let (caller, key) = (rig.caller(0), new_key());
    let other = Request {
        path: "/claims/other".to_owned(),
        ..claim()
    };

    let first = caller
        .send_to(&rig.places[0].url(), &claim(), &key, 0)
        .await;
    let second = caller.send_to(&rig.places[1].url(), &other, &key, 0).await;

    assert_eq!(first.status, Status::Answered);
    assert_eq!(
        (second.status, second.reason.as_str()),
        (Status::NotRun, "key-reused")
    );
    assert_eq!(runs_of(&rig, &key).await, 1);
}
