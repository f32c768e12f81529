//! The control document: races of operators, cuts, and marks.

mod common;

use {
    common::{claim, lookup_bib, new_key, until_all_at},
    rig::{Audit, Load, Options, Rig, wait_until},
    stand::{
        caller::Status,
        fault::{FaultConfig, Mode},
    },
    std::{collections::BTreeSet, time::Duration},
    wire::{Change, Decision, Kind, Mark, Verdict},
};

const LIMIT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);
/// Time in which a marked upstream may still get new work anywhere.
const LEAVING_LIMIT: Duration = Duration::from_secs(5);

fn with_faults() -> Options {
    Options {
        use_fault_proxy: true,
        ..Options::default()
    }
}

fn switch(name: &str, expect: u64) -> Change {
    Change::Preset {
        name: name.to_owned(),
        expect,
    }
}

fn leave(kind: Kind, name: &str) -> Change {
    Change::Leaving(Mark {
        kind,
        name: name.to_owned(),
    })
}

fn setting(mode: Mode) -> FaultConfig {
    FaultConfig {
        mode,
        ..FaultConfig::default()
    }
}

#[actix_rt::test]
async fn two_operators_switching_at_once_one_wins_and_both_are_told() {
    let rig = Rig::start(Options::default()).await.unwrap();

    let (a, b): (Decision, Decision) = {
        let a = rig
            .admin
            .propose_change(&rig.vm_specs[0], switch("peak", 1));
        let b = rig
            .admin
            .propose_change(&rig.vm_specs[3], switch("maintenance", 1));
        let (a, b) = futures_util::future::join(a, b).await;
        (a.unwrap(), b.unwrap())
    };

    let verdicts = [a.verdict, b.verdict];
    let (winner, loser) = if a.verdict == Verdict::Accepted {
        (a, b)
    } else {
        (b, a)
    };
    assert!(verdicts.contains(&Verdict::Accepted) && verdicts.contains(&Verdict::Conflict));
    assert!(
        loser.detail.contains(&winner.document.preset),
        "{}",
        loser.detail
    );
    until_all_at(&rig, winner.document.version, LIMIT).await;
    for place in &rig.vm_specs {
        let dump = rig.admin.fetch_state(place).await.unwrap();
        assert_eq!(dump["control"]["preset"], winner.document.preset);
    }
}

#[actix_rt::test]
async fn switch_and_drains_at_once_are_all_kept() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let changes = [
        switch("peak", 1),
        leave(Kind::Zone, "cebu-a"),
        leave(Kind::Target, "payline-pasig-a-1"),
        leave(Kind::ServiceZone, "bibdesk/davao-b"),
    ];
    let calls = changes
        .into_iter()
        .zip(&rig.vm_specs)
        .map(|(change, place)| rig.admin.propose_change(place, change));

    let decisions = futures_util::future::join_all(calls).await;

    let decisions: Vec<Decision> = decisions.into_iter().map(Result::unwrap).collect();
    assert!(
        decisions.iter().all(|d| d.verdict == Verdict::Accepted),
        "{decisions:#?}"
    );
    until_all_at(&rig, 5, LIMIT).await;
    let dump = rig.admin.fetch_state(&rig.vm_specs[5]).await.unwrap();
    assert_eq!(dump["control"]["preset"], "peak");
    assert_eq!(dump["control"]["marks"].as_array().map(Vec::len), Some(3));
}

#[actix_rt::test]
async fn no_vm_is_seen_to_step_back() {
    let rig = Rig::start(with_faults()).await.unwrap();
    let mut highest = vec![0; rig.vm_specs.len()];
    let mut version = 1;
    for round in 0..6_usize {
        let cut = &rig.vm_specs[round % rig.vm_specs.len()].name;
        let mode = if round % 2 == 0 {
            Mode::Cut
        } else {
            Mode::Pass
        };
        rig.set_route_fault(&format!("{cut}>platform"), setting(mode))
            .await
            .unwrap();
        let preset = if round % 2 == 0 { "peak" } else { "ordinary" };
        let vm = &rig.vm_specs[(round + 1) % rig.vm_specs.len()];
        let decision = rig
            .admin
            .propose_change(vm, switch(preset, version))
            .await
            .unwrap();
        version = decision.document.version;
        for (seen, place) in highest.iter_mut().zip(&rig.vm_specs) {
            let now = rig.admin.fetch_control_version(place).await.unwrap();
            assert!(now >= *seen, "{} went from {seen} to {now}", place.name);
            *seen = now;
        }
    }
    until_all_at(&rig, version, LIMIT).await;
}

#[actix_rt::test]
async fn document_that_arrives_late_is_not_put_in_force() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let place = &rig.vm_specs[0];
    let old = rig
        .admin
        .propose_change(place, switch("peak", 1))
        .await
        .unwrap()
        .document;
    let new = rig
        .admin
        .propose_change(place, switch("maintenance", 2))
        .await
        .unwrap()
        .document;
    let client = awc::Client::default();

    for place in &rig.vm_specs {
        let url = format!("http://{}/peer/control", place.peer_address);
        let body = wire::encode(&old).unwrap();
        let response = client.post(url).send_body(body).await.unwrap();
        assert!(response.status().is_success());
    }

    for place in &rig.vm_specs {
        assert_eq!(
            rig.admin.fetch_control_version(place).await,
            Some(new.version)
        );
    }
}

#[actix_rt::test]
async fn mark_reaches_a_vm_that_is_cut_from_the_platform() {
    let rig = Rig::start(with_faults()).await.unwrap();
    let cut = &rig.vm_specs[4];
    rig.set_route_fault(&format!("{}>platform", cut.name), setting(Mode::Cut))
        .await
        .unwrap();

    let change = leave(Kind::Zone, "pasig-a");
    let decision = rig
        .admin
        .propose_change(&rig.vm_specs[0], change)
        .await
        .unwrap();

    assert_eq!(decision.verdict, Verdict::Accepted);
    wait_until("the mark", LEAVING_LIMIT, || async {
        rig.admin.fetch_control_version(cut).await == Some(2)
    })
    .await
    .unwrap();
}

#[actix_rt::test]
async fn vm_cut_from_platform_and_peers_takes_no_new_work() {
    let rig = Rig::start(with_faults()).await.unwrap();
    let alone = &rig.vm_specs[0];
    for other in &rig.vm_specs {
        let out = format!("{}>{}", alone.name, other.name);
        let back = format!("{}>{}", other.name, alone.name);
        rig.set_route_fault(&out, setting(Mode::Freeze))
            .await
            .unwrap();
        rig.set_route_fault(&back, setting(Mode::Freeze))
            .await
            .unwrap();
    }
    rig.set_route_fault(&format!("{}>platform", alone.name), setting(Mode::Cut))
        .await
        .unwrap();

    let closed = || async { !rig.admin.is_ready(alone).await };
    wait_until("the isolated VM", LEAVING_LIMIT, closed)
        .await
        .unwrap();
    let refused = rig
        .create_caller(0)
        .send_to(&alone.caller_url(), &lookup_bib(), "token", 0)
        .await;
    for other in &rig.vm_specs {
        let out = format!("{}>{}", alone.name, other.name);
        let back = format!("{}>{}", other.name, alone.name);
        rig.set_route_fault(&out, FaultConfig::default())
            .await
            .unwrap();
        rig.set_route_fault(&back, FaultConfig::default())
            .await
            .unwrap();
    }

    assert_eq!(
        (refused.status, refused.reason.as_str()),
        (Status::NotRun, "not-ready")
    );
    wait_until("the healed VM", LIMIT, || async {
        rig.admin.is_ready(alone).await
    })
    .await
    .unwrap();
}

#[actix_rt::test]
async fn accepted_change_names_the_vms_that_did_not_confirm() {
    let rig = Rig::start(with_faults()).await.unwrap();
    let route = format!("{}>{}", rig.vm_specs[0].name, rig.vm_specs[2].name);
    rig.set_route_fault(&route, setting(Mode::Freeze))
        .await
        .unwrap();

    let decision = rig
        .admin
        .propose_change(&rig.vm_specs[0], switch("peak", 1))
        .await
        .unwrap();

    assert_eq!(decision.verdict, Verdict::Accepted);
    assert_eq!(decision.unconfirmed, vec![rig.vm_specs[2].name.clone()]);
    let reached = || async { rig.admin.fetch_control_version(&rig.vm_specs[2]).await == Some(2) };
    wait_until("the other ways", LIMIT, reached).await.unwrap();
}

#[actix_rt::test]
async fn one_way_cut_between_two_vms_disturbs_no_request() {
    let rig = Rig::start(with_faults()).await.unwrap();
    let route = format!("{}>{}", rig.vm_specs[0].name, rig.vm_specs[1].name);
    let load = Load::start(rig.create_callers(6), &rig.build_requests(6), PAUSE);
    rig.set_route_fault(&route, setting(Mode::FreezeBack))
        .await
        .unwrap();
    actix_rt::time::sleep(Duration::from_secs(4)).await;

    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert!(audit.answered * 100 >= audit.sent * 99, "{audit:?}");
}

#[actix_rt::test]
async fn regions_that_lose_each_other_both_serve_and_agree_afterwards() {
    let rig = Rig::start(with_faults()).await.unwrap();
    let sides: (Vec<_>, Vec<_>) = rig
        .vm_specs
        .iter()
        .partition(|place| place.zone.starts_with("davao"));
    let mut routes = Vec::new();
    for a in &sides.0 {
        for b in &sides.1 {
            routes.push(format!("{}>{}", a.name, b.name));
            routes.push(format!("{}>{}", b.name, a.name));
        }
        routes.push(format!("{}>platform", a.name));
    }
    let load = Load::start(rig.create_callers(6), &[lookup_bib(), claim()], PAUSE);
    for route in &routes {
        rig.set_route_fault(route, setting(Mode::Freeze))
            .await
            .unwrap();
    }
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    let near = sides.1[0];
    let far = sides.0[0];
    let decision = rig
        .admin
        .propose_change(near, switch("peak", 1))
        .await
        .unwrap();
    let there = rig
        .create_caller(2)
        .send_to(&far.caller_url(), &lookup_bib(), "token", 0)
        .await;
    let claimed = rig
        .create_caller(2)
        .send_to(&far.caller_url(), &claim(), &new_key(), 0)
        .await;
    for route in &routes {
        rig.set_route_fault(route, FaultConfig::default())
            .await
            .unwrap();
    }
    until_all_at(&rig, decision.document.version, LIMIT).await;

    let records = load.stop().await;

    assert_eq!(decision.verdict, Verdict::Accepted);
    assert_eq!(there.status, Status::Answered, "{there:?}");
    assert_ne!(claimed.status, Status::Answered, "{claimed:?}");
    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
}

#[actix_rt::test]
async fn leaving_target_finishes_what_it_has_and_gets_nothing_new() {
    let options = Options {
        mean_service_ms: 300.0,
        ..Options::default()
    };
    let rig = Rig::start(options).await.unwrap();
    let load = Load::start(rig.create_callers(9), &rig.build_requests(6), PAUSE);
    actix_rt::time::sleep(Duration::from_secs(1)).await;

    let change = leave(Kind::Zone, "cebu-b");
    let decision = rig
        .admin
        .propose_change(&rig.vm_specs[0], change)
        .await
        .unwrap();
    let accepted_ms = common::wall_ms();
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let records = load.stop().await;

    let runs = rig.fetch_runs().await.unwrap();
    let there: BTreeSet<&str> = runs
        .iter()
        .filter(|run| run.zone == "cebu-b" && run.started_at_ms > accepted_ms)
        .map(|run| run.target.as_str())
        .collect();
    let audit = Audit::from_records(&records, &runs);
    assert_eq!(decision.unconfirmed, Vec::<String>::new());
    assert_eq!(there, BTreeSet::new());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert_eq!(audit.answered, audit.sent, "{audit:?}");
}
