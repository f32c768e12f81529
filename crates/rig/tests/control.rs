//! Control document: concurrent changes, network partitions and leaving marks.

mod common;

use {
    common::{bib_request, claim_request, new_idempotency_key, wait_for_version},
    rig::{Audit, LoadGenerator, Options, Rig, wait_until},
    stand::{
        caller::Status,
        fault::{FaultConfig, Mode},
    },
    std::{collections::BTreeSet, time::Duration},
    wire::{Change, Decision, Kind, Mark, Verdict},
};

const TIMEOUT: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(20);
/// Maximum time for which targets marked as leaving may still get new requests from any VM, and
/// for which an isolated VM may still accept them.
const MARK_TIMEOUT: Duration = Duration::from_secs(5);

fn with_fault_proxy() -> Options {
    Options {
        use_fault_proxy: true,
        ..Options::default()
    }
}

fn switch_preset(name: &str, expect: u64) -> Change {
    Change::Preset {
        name: name.to_owned(),
        expect,
    }
}

fn mark_leaving(kind: Kind, name: &str) -> Change {
    Change::Leaving(Mark {
        kind,
        name: name.to_owned(),
    })
}

fn with_mode(mode: Mode) -> FaultConfig {
    FaultConfig {
        mode,
        ..FaultConfig::default()
    }
}

#[actix_rt::test]
async fn concurrent_preset_switches_accept_one_and_report_a_conflict_to_the_other() {
    let rig = Rig::start(Options::default()).await.unwrap();

    let (a, b): (Decision, Decision) = {
        let a = rig
            .admin
            .propose_change(&rig.vm_specs[0], switch_preset("peak", 1));
        let b = rig
            .admin
            .propose_change(&rig.vm_specs[3], switch_preset("maintenance", 1));
        let (a, b) = futures_util::future::join(a, b).await;
        (a.unwrap(), b.unwrap())
    };

    let verdicts = [a.verdict, b.verdict];
    let (accepted, conflict) = if a.verdict == Verdict::Accepted {
        (a, b)
    } else {
        (b, a)
    };
    assert!(verdicts.contains(&Verdict::Accepted) && verdicts.contains(&Verdict::Conflict));
    assert!(
        conflict.detail.contains(&accepted.document.preset),
        "{}",
        conflict.detail
    );
    wait_for_version(&rig, accepted.document.version, TIMEOUT).await;
    for vm in &rig.vm_specs {
        let dump = rig.admin.fetch_state(vm).await.unwrap();
        assert_eq!(dump["control"]["preset"], accepted.document.preset);
    }
}

#[actix_rt::test]
async fn concurrent_preset_switch_and_leaving_marks_are_all_accepted() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let changes = [
        switch_preset("peak", 1),
        mark_leaving(Kind::Zone, "cebu-a"),
        mark_leaving(Kind::Target, "payline-pasig-a-1"),
        mark_leaving(Kind::ServiceZone, "bibdesk/davao-b"),
    ];
    let proposals = changes
        .into_iter()
        .zip(&rig.vm_specs)
        .map(|(change, vm)| rig.admin.propose_change(vm, change));

    let decisions = futures_util::future::join_all(proposals).await;

    let decisions: Vec<Decision> = decisions.into_iter().map(Result::unwrap).collect();
    assert!(
        decisions.iter().all(|d| d.verdict == Verdict::Accepted),
        "{decisions:#?}"
    );
    wait_for_version(&rig, 5, TIMEOUT).await;
    let dump = rig.admin.fetch_state(&rig.vm_specs[5]).await.unwrap();
    assert_eq!(dump["control"]["preset"], "peak");
    assert_eq!(dump["control"]["marks"].as_array().map(Vec::len), Some(3));
}

#[actix_rt::test]
async fn control_version_never_decreases_on_any_vm() {
    let rig = Rig::start(with_fault_proxy()).await.unwrap();
    let mut highest_versions = vec![0; rig.vm_specs.len()];
    let mut version = 1;
    for round in 0..6_usize {
        let cut_off = &rig.vm_specs[round % rig.vm_specs.len()].name;
        let mode = if round % 2 == 0 {
            Mode::Cut
        } else {
            Mode::Pass
        };
        rig.set_proxy_fault(&format!("{cut_off}>platform"), with_mode(mode))
            .await
            .unwrap();
        let preset = if round % 2 == 0 { "peak" } else { "ordinary" };
        let vm = &rig.vm_specs[(round + 1) % rig.vm_specs.len()];
        let decision = rig
            .admin
            .propose_change(vm, switch_preset(preset, version))
            .await
            .unwrap();
        version = decision.document.version;
        for (highest, vm) in highest_versions.iter_mut().zip(&rig.vm_specs) {
            let current = rig.admin.fetch_control_version(vm).await.unwrap();
            assert!(
                current >= *highest,
                "version of {} went from {highest} to {current}",
                vm.name
            );
            *highest = current;
        }
    }
    wait_for_version(&rig, version, TIMEOUT).await;
}

#[actix_rt::test]
async fn outdated_document_is_ignored() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let vm = &rig.vm_specs[0];
    let outdated = rig
        .admin
        .propose_change(vm, switch_preset("peak", 1))
        .await
        .unwrap()
        .document;
    let current = rig
        .admin
        .propose_change(vm, switch_preset("maintenance", 2))
        .await
        .unwrap()
        .document;
    let client = awc::Client::default();

    for vm in &rig.vm_specs {
        let url = format!("http://{}/peer/control", vm.peer_address);
        let body = wire::encode(&outdated).unwrap();
        let response = client.post(url).send_body(body).await.unwrap();
        assert!(response.status().is_success());
    }

    for vm in &rig.vm_specs {
        assert_eq!(
            rig.admin.fetch_control_version(vm).await,
            Some(current.version)
        );
    }
}

#[actix_rt::test]
async fn leaving_mark_reaches_a_vm_that_is_cut_off_from_the_platform() {
    let rig = Rig::start(with_fault_proxy()).await.unwrap();
    let cut_off = &rig.vm_specs[4];
    rig.set_proxy_fault(&format!("{}>platform", cut_off.name), with_mode(Mode::Cut))
        .await
        .unwrap();

    let change = mark_leaving(Kind::Zone, "pasig-a");
    let decision = rig
        .admin
        .propose_change(&rig.vm_specs[0], change)
        .await
        .unwrap();

    assert_eq!(decision.verdict, Verdict::Accepted);
    wait_until("leaving mark on the VM", MARK_TIMEOUT, || async {
        rig.admin.fetch_control_version(cut_off).await == Some(2)
    })
    .await
    .unwrap();
}

#[actix_rt::test]
async fn vm_cut_off_from_platform_and_peers_refuses_new_requests() {
    let rig = Rig::start(with_fault_proxy()).await.unwrap();
    let isolated = &rig.vm_specs[0];
    for other in &rig.vm_specs {
        let outbound = format!("{}>{}", isolated.name, other.name);
        let inbound = format!("{}>{}", other.name, isolated.name);
        rig.set_proxy_fault(&outbound, with_mode(Mode::Freeze))
            .await
            .unwrap();
        rig.set_proxy_fault(&inbound, with_mode(Mode::Freeze))
            .await
            .unwrap();
    }
    rig.set_proxy_fault(&format!("{}>platform", isolated.name), with_mode(Mode::Cut))
        .await
        .unwrap();

    let is_refusing = || async { !rig.admin.is_ready(isolated).await };
    wait_until("refusal by the isolated VM", MARK_TIMEOUT, is_refusing)
        .await
        .unwrap();
    let refused = rig
        .create_caller(0)
        .send_to(&isolated.caller_url(), &bib_request(), "token", 0)
        .await;
    for other in &rig.vm_specs {
        let outbound = format!("{}>{}", isolated.name, other.name);
        let inbound = format!("{}>{}", other.name, isolated.name);
        rig.set_proxy_fault(&outbound, FaultConfig::default())
            .await
            .unwrap();
        rig.set_proxy_fault(&inbound, FaultConfig::default())
            .await
            .unwrap();
    }

    assert_eq!(
        (refused.status, refused.reason.as_str()),
        (Status::NotRun, "not-ready")
    );
    wait_until("VM after the partition", TIMEOUT, || async {
        rig.admin.is_ready(isolated).await
    })
    .await
    .unwrap();
}

#[actix_rt::test]
async fn accepted_change_lists_unconfirmed_vms() {
    let rig = Rig::start(with_fault_proxy()).await.unwrap();
    let route = format!("{}>{}", rig.vm_specs[0].name, rig.vm_specs[2].name);
    rig.set_proxy_fault(&route, with_mode(Mode::Freeze))
        .await
        .unwrap();

    let decision = rig
        .admin
        .propose_change(&rig.vm_specs[0], switch_preset("peak", 1))
        .await
        .unwrap();

    assert_eq!(decision.verdict, Verdict::Accepted);
    assert_eq!(decision.unconfirmed, vec![rig.vm_specs[2].name.clone()]);
    let is_reached =
        || async { rig.admin.fetch_control_version(&rig.vm_specs[2]).await == Some(2) };
    wait_until("change on the unconfirmed VM", TIMEOUT, is_reached)
        .await
        .unwrap();
}

#[actix_rt::test]
async fn one_way_partition_between_two_vms_fails_at_most_one_percent_of_requests() {
    let rig = Rig::start(with_fault_proxy()).await.unwrap();
    let route = format!("{}>{}", rig.vm_specs[0].name, rig.vm_specs[1].name);
    let load = LoadGenerator::start(rig.create_callers(6), &rig.build_requests(6), PAUSE);
    rig.set_proxy_fault(&route, with_mode(Mode::FreezeBack))
        .await
        .unwrap();
    actix_rt::time::sleep(Duration::from_secs(4)).await;

    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert!(audit.answered * 100 >= audit.sent * 99, "{audit:?}");
}

#[actix_rt::test]
async fn partitioned_regions_both_serve_and_converge_after_recovery() {
    let rig = Rig::start(with_fault_proxy()).await.unwrap();
    let partitions: (Vec<_>, Vec<_>) = rig
        .vm_specs
        .iter()
        .partition(|vm| vm.zone.starts_with("davao"));
    let mut routes = Vec::new();
    for davao in &partitions.0 {
        for other in &partitions.1 {
            routes.push(format!("{}>{}", davao.name, other.name));
            routes.push(format!("{}>{}", other.name, davao.name));
        }
        routes.push(format!("{}>platform", davao.name));
    }
    let load = LoadGenerator::start(
        rig.create_callers(6),
        &[bib_request(), claim_request()],
        PAUSE,
    );
    for route in &routes {
        rig.set_proxy_fault(route, with_mode(Mode::Freeze))
            .await
            .unwrap();
    }
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    let majority_vm = partitions.1[0];
    let davao_vm = partitions.0[0];
    let decision = rig
        .admin
        .propose_change(majority_vm, switch_preset("peak", 1))
        .await
        .unwrap();
    let bib = rig
        .create_caller(2)
        .send_to(&davao_vm.caller_url(), &bib_request(), "token", 0)
        .await;
    let claim = rig
        .create_caller(2)
        .send_to(
            &davao_vm.caller_url(),
            &claim_request(),
            &new_idempotency_key(),
            0,
        )
        .await;
    for route in &routes {
        rig.set_proxy_fault(route, FaultConfig::default())
            .await
            .unwrap();
    }
    wait_for_version(&rig, decision.document.version, TIMEOUT).await;

    let records = load.stop().await;

    assert_eq!(decision.verdict, Verdict::Accepted);
    assert_eq!(bib.status, Status::Answered, "{bib:?}");
    assert_ne!(claim.status, Status::Answered, "{claim:?}");
    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert!(audit.guarantees_hold(), "{audit:?}");
}

#[actix_rt::test]
async fn leaving_zone_completes_its_requests_and_gets_no_new_ones() {
    let options = Options {
        mean_service_ms: 300.0,
        ..Options::default()
    };
    let rig = Rig::start(options).await.unwrap();
    let load = LoadGenerator::start(rig.create_callers(9), &rig.build_requests(6), PAUSE);
    actix_rt::time::sleep(Duration::from_secs(1)).await;

    let change = mark_leaving(Kind::Zone, "cebu-b");
    let decision = rig
        .admin
        .propose_change(&rig.vm_specs[0], change)
        .await
        .unwrap();
    let accepted_at_ms = common::unix_time_ms();
    actix_rt::time::sleep(Duration::from_secs(2)).await;
    let records = load.stop().await;

    let runs = rig.fetch_runs().await.unwrap();
    let late_targets: BTreeSet<&str> = runs
        .iter()
        .filter(|run| run.zone == "cebu-b" && run.started_at_ms > accepted_at_ms)
        .map(|run| run.target.as_str())
        .collect();
    let audit = Audit::from_records(&records, &runs);
    assert_eq!(decision.unconfirmed, Vec::<String>::new());
    assert_eq!(late_targets, BTreeSet::new());
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert_eq!(audit.answered, audit.sent, "{audit:?}");
}

/// Guards against an accepted change that no VM puts in force, because the table service was
/// restored from an older snapshot and the change got a version that had been given out before.
#[actix_rt::test]
async fn change_after_the_table_service_was_restored_from_a_snapshot_is_in_force_everywhere() {
    let rig = Rig::start(Options::default()).await.unwrap();
    rig.snapshot_platform().await.unwrap();
    let vm = &rig.vm_specs[0];
    let preset = rig.admin.propose_change(vm, switch_preset("peak", 1)).await;
    wait_for_version(&rig, preset.unwrap().document.version, TIMEOUT).await;

    rig.restore_platform().await.unwrap();
    let vm = &rig.vm_specs[1];
    let mark = mark_leaving(Kind::Zone, "cebu-a");
    let decision = rig.admin.propose_change(vm, mark).await.unwrap();

    assert_eq!(decision.verdict, Verdict::Accepted);
    wait_for_version(&rig, decision.document.version, TIMEOUT).await;
    for vm in &rig.vm_specs {
        let dump = rig.admin.fetch_state(vm).await.unwrap();
        assert_eq!(dump["control"]["preset"], "peak", "{}", vm.name);
        let marks = dump["control"]["marks"].as_array();
        assert_eq!(marks.map(Vec::len), Some(1), "{}", vm.name);
    }
}
