//! Bad settings, bad requests and credentials.

mod common;

use {
    assert_cmd::Command,
    common::{claim, lookup_bib, new_key},
    rig::{Options, Rig, wait_until},
    serde_json::Value,
    stand::caller::{Request, Status},
    std::{fs, time::Duration},
};

const LIMIT: Duration = Duration::from_secs(10);

fn program(name: &str) -> Command {
    let own = std::env::current_exe().unwrap();
    Command::new(own.ancestors().nth(2).unwrap().join(name))
}

fn plan(service: &str, path: &str, base: Request) -> Request {
    Request {
        service: service.to_owned(),
        path: path.to_owned(),
        ..base
    }
}

#[test]
fn process_with_bad_settings_names_file_key_and_reason() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("vm.yaml");
    fs::write(
        &path,
        "name: a\nzone: pasig-a\nfleet: f.yaml\ncaller: nowhere\npeer: 127.0.0.1:1\noperator: 127.0.0.1:2\nplatform: http://127.0.0.1:3\noperator_token: short\n",
    )
    .unwrap();

    let result = program("cicadalift-entry")
        .arg("--settings")
        .arg(&path)
        .assert();

    let result = result.code(2);
    let text = String::from_utf8_lossy(&result.get_output().stderr).into_owned();
    let name = path.display().to_string();
    assert!(
        text.contains(&format!(
            "{name}: caller: \"nowhere\" is not an address in the form IP:PORT"
        )),
        "{text}"
    );
    assert!(
        text.contains(&format!(
            "{name}: operator_token: must be at least 16 bytes long"
        )),
        "{text}"
    );
}

#[test]
fn check_lists_faults_and_ends_with_a_code_for_scripts() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("fleet.yaml");
    fs::write(&path, "firm: x\nshoe_size: 43\n").unwrap();

    let result = program("cicadalift").arg("check").arg(&path).assert();

    let result = result.code(2);
    let text = String::from_utf8_lossy(&result.get_output().stderr).into_owned();
    assert!(text.contains("shoe_size"), "{text}");
}

#[actix_rt::test]
async fn bad_requests_are_refused_at_once_and_reach_no_upstream() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let caller = rig.create_caller(0);
    let url = rig.vm_specs[0].caller_url();
    let late = Request {
        timeout: Duration::ZERO,
        ..lookup_bib()
    };
    let cases = [
        (
            plan("nothing", "/bibs/7", lookup_bib()),
            "token",
            "unknown-service",
        ),
        (
            plan("bibdesk", "/shoes/7", lookup_bib()),
            "token",
            "unknown-operation",
        ),
        (claim(), "", "key-missing"),
        (claim(), "short", "malformed"),
        (late, "token", "past-deadline"),
    ];

    for (plan, key, reason) in cases {
        let record = caller.send_to(&url, &plan, key, 0).await;
        assert_eq!(
            (record.status, record.reason.as_str()),
            (Status::NotRun, reason)
        );
    }

    assert_eq!(rig.fetch_runs().await.unwrap().len(), 0);
}

#[actix_rt::test]
async fn body_over_the_limit_is_refused() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let url = format!("{}/v1/racegate/claims", rig.vm_specs[0].caller_url());
    let client = awc::Client::default();

    let request = client
        .post(url)
        .insert_header(("idempotency-key", new_key()));
    let response = request
        .send_body(vec![b'x'; 1024 * 1024 + 1])
        .await
        .unwrap();

    assert_eq!(response.status(), 413);
    assert_eq!(
        response.headers().get("cicadalift-reason").unwrap(),
        "too-large"
    );
    assert_eq!(rig.fetch_runs().await.unwrap().len(), 0);
}

#[actix_rt::test]
async fn operators_need_their_credential_and_it_is_never_shown() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let place = &rig.vm_specs[0];
    let client = awc::Client::default();

    let without = client
        .get(format!("http://{}/v1/state", place.operator_address))
        .send()
        .await
        .unwrap();
    let wrong = client
        .get(format!("http://{}/v1/state", place.operator_address))
        .bearer_auth("operator-token-of-the-rog")
        .send()
        .await
        .unwrap();
    let dump = rig.admin.fetch_state(place).await.unwrap().to_string();

    assert_eq!(without.status(), 401);
    assert_eq!(wrong.status(), 401);
    assert!(!dump.contains("operator-token"));
    for file in fs::read_dir(rig.directory()).unwrap().flatten() {
        if file
            .path()
            .extension()
            .is_some_and(|ending| ending == "log")
        {
            let log = fs::read_to_string(file.path()).unwrap();
            assert!(!log.contains("operator-token"));
        }
    }
}

#[actix_rt::test]
async fn running_process_keeps_good_settings_when_it_is_handed_bad_ones() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let path = rig.directory().join("fleet.yaml");
    let good = fs::read_to_string(&path).unwrap();
    let logs = || fs::read_to_string(rig.directory().join("pasig-a-vm1-1.log")).unwrap();

    fs::write(
        &path,
        good.replace("first_preset: ordinary", "first_preset: none"),
    )
    .unwrap();
    rig.vm_processes[0].reload_settings();
    wait_until("the refusal", LIMIT, || async {
        logs().contains("settings_rejected")
    })
    .await
    .unwrap();
    let served = rig
        .create_caller(0)
        .send_to(&rig.vm_specs[0].caller_url(), &lookup_bib(), "token", 0)
        .await;
    fs::write(&path, good).unwrap();
    rig.vm_processes[0].reload_settings();
    wait_until("the good file", LIMIT, || async {
        logs().contains("settings_reloaded")
    })
    .await
    .unwrap();

    assert_eq!(served.status, Status::Answered);
    let dump: Value = rig.admin.fetch_state(&rig.vm_specs[0]).await.unwrap();
    assert_eq!(dump["control"]["preset"], "ordinary");
}
