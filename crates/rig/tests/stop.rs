//! Stops and restarts of VMs, and the stop of an availability zone, under load.

mod common;

use {
    rig::{Audit, LoadGenerator, Options, Rig, wait_until},
    std::time::Duration,
    wire::{Change, Kind, Mark},
};

const TIMEOUT: Duration = Duration::from_mins(1);
const PAUSE: Duration = Duration::from_millis(20);

/// Waits for the exit of a VM and returns its exit code, or `None` after the timeout.
///
/// Yields between polls because the callers run on this thread.
async fn wait_for_exit_code(rig: &mut Rig, vm_index: usize) -> Option<i32> {
    let mut polls_left = TIMEOUT.as_millis() / PAUSE.as_millis();
    while rig.vm_processes[vm_index].is_running() && polls_left > 0 {
        actix_rt::time::sleep(PAUSE).await;
        polls_left -= 1;
    }
    rig.vm_processes[vm_index]
        .wait_for_exit(Duration::ZERO)
        .and_then(|status| status.code())
}

#[actix_rt::test]
async fn graceful_stop_of_a_vm_fails_no_request() {
    let mut rig = Rig::start(Options::default()).await.unwrap();
    let load = LoadGenerator::start(rig.create_callers(9), &rig.build_requests(6), PAUSE);
    actix_rt::time::sleep(Duration::from_secs(1)).await;

    rig.vm_processes[1].terminate();
    let exit_code = wait_for_exit_code(&mut rig, 1).await;
    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert_eq!(exit_code, Some(0));
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert_eq!(audit.answered, audit.sent, "{audit:?}");
    let lost_responses = records
        .iter()
        .filter(|record| record.reason == "answer-lost")
        .count();
    assert_eq!(lost_responses, 0);
}

#[actix_rt::test]
async fn graceful_stop_of_an_availability_zone_fails_no_request() {
    let options = Options {
        vm_count: 12,
        mean_service_ms: 100.0,
        ..Options::default()
    };
    let mut rig = Rig::start(options).await.unwrap();
    let load = LoadGenerator::start(rig.create_callers(12), &rig.build_requests(6), PAUSE);
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let zone = "cebu-a".to_owned();
    let mark = Mark {
        kind: Kind::Zone,
        name: zone.clone(),
    };
    let decision = rig
        .admin
        .propose_change(&rig.vm_specs[0], Change::Leaving(mark))
        .await
        .unwrap();
    let vm_indexes: Vec<usize> = (0..rig.vm_specs.len())
        .filter(|index| rig.vm_specs[*index].zone == zone)
        .collect();

    for index in &vm_indexes {
        rig.vm_processes[*index].terminate();
    }
    let mut exit_codes = Vec::new();
    for index in &vm_indexes {
        exit_codes.push(wait_for_exit_code(&mut rig, *index).await);
    }
    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert_eq!(decision.unconfirmed, Vec::<String>::new());
    assert_eq!(exit_codes, vec![Some(0); 2]);
    assert!(audit.guarantees_hold(), "{audit:?}");
    assert_eq!(audit.answered, audit.sent, "{audit:?}");
}

#[actix_rt::test]
async fn vms_killed_and_restarted_in_turn_violate_no_guarantee() {
    let mut rig = Rig::start(Options::default()).await.unwrap();
    let load = LoadGenerator::start(rig.create_callers(6), &rig.build_requests(6), PAUSE);

    for index in 0..4 {
        rig.vm_processes[usize::from(index)].kill();
        rig.start_vm(index).unwrap();
        let vm = &rig.vm_specs[usize::from(index)];
        wait_until("restarted VM", TIMEOUT, || async {
            rig.admin.is_ready(vm).await
        })
        .await
        .unwrap();
    }
    let records = load.stop().await;

    let audit = Audit::from_records(&records, &rig.fetch_runs().await.unwrap());
    assert_eq!(audit.wrong_responses, 0);
    assert_eq!(audit.duplicate_run_keys, Vec::<String>::new());
    assert_eq!(audit.false_not_run_keys, Vec::<String>::new());
    assert_eq!(audit.false_response_keys, Vec::<String>::new());
}
