//! Invalid settings, invalid requests and operator credentials.

mod common;

use {
    assert_cmd::Command,
    common::{bib_request, claim_request, new_idempotency_key},
    rig::{Options, Rig, wait_until},
    serde_json::Value,
    stand::caller::{Request, Status},
    std::{fs, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(10);

fn program(name: &str) -> Command {
    let executable = std::env::current_exe().unwrap();
    Command::new(executable.ancestors().nth(2).unwrap().join(name))
}

fn build_request(service: &str, path: &str, base: Request) -> Request {
    Request {
        service: service.to_owned(),
        path: path.to_owned(),
        ..base
    }
}

#[test]
fn entry_with_invalid_settings_reports_file_key_and_reason() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("vm.yaml");
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
fn check_of_an_invalid_file_reports_the_key_and_exits_with_code_2() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("fleet.yaml");
    fs::write(&path, "firm: x\nshoe_size: 43\n").unwrap();

    let result = program("cicadalift").arg("check").arg(&path).assert();

    let result = result.code(2);
    let text = String::from_utf8_lossy(&result.get_output().stderr).into_owned();
    assert!(text.contains("shoe_size"), "{text}");
}

#[actix_rt::test]
async fn invalid_requests_are_refused_and_reach_no_upstream() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let caller = rig.create_caller(0);
    let url = rig.vm_specs[0].caller_url();
    let expired = Request {
        timeout: Duration::ZERO,
        ..bib_request()
    };
    let cases = [
        (
            build_request("nothing", "/bibs/7", bib_request()),
            "token",
            "unknown-service",
        ),
        (
            build_request("bibdesk", "/shoes/7", bib_request()),
            "token",
            "unknown-operation",
        ),
        (claim_request(), "", "key-missing"),
        (claim_request(), "short", "malformed"),
        (expired, "token", "past-deadline"),
    ];

    for (request, key, reason) in cases {
        let record = caller.send_to(&url, &request, key, 0).await;
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
        .insert_header(("idempotency-key", new_idempotency_key()));
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
async fn operator_interface_requires_the_token_and_never_exposes_it() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let vm = &rig.vm_specs[0];
    let client = awc::Client::default();

    let without_token = client
        .get(format!("http://{}/v1/state", vm.operator_address))
        .send()
        .await
        .unwrap();
    let wrong_token = client
        .get(format!("http://{}/v1/state", vm.operator_address))
        .bearer_auth("operator-token-of-the-rog")
        .send()
        .await
        .unwrap();
    let dump = rig.admin.fetch_state(vm).await.unwrap().to_string();

    assert_eq!(without_token.status(), 401);
    assert_eq!(wrong_token.status(), 401);
    assert!(!dump.contains("operator-token"));
    for file in fs::read_dir(rig.directory()).unwrap().flatten() {
        if file
            .path()
            .extension()
            .is_some_and(|extension| extension == "log")
        {
            let log = fs::read_to_string(file.path()).unwrap();
            assert!(!log.contains("operator-token"));
        }
    }
}

#[actix_rt::test]
async fn running_vm_keeps_valid_settings_when_a_reload_is_rejected() {
    let rig = Rig::start(Options::default()).await.unwrap();
    let path = rig.directory().join("fleet.yaml");
    let valid_yaml = fs::read_to_string(&path).unwrap();
    let read_log = || fs::read_to_string(rig.directory().join("pasig-a-vm1-1.log")).unwrap();

    fs::write(
        &path,
        valid_yaml.replace("first_preset: ordinary", "first_preset: none"),
    )
    .unwrap();
    rig.vm_processes[0].reload_settings();
    wait_until("rejected reload", TIMEOUT, || async {
        read_log().contains("settings_rejected")
    })
    .await
    .unwrap();
    let record = rig
        .create_caller(0)
        .send_to(&rig.vm_specs[0].caller_url(), &bib_request(), "token", 0)
        .await;
    fs::write(&path, valid_yaml).unwrap();
    rig.vm_processes[0].reload_settings();
    wait_until("reload of the valid file", TIMEOUT, || async {
        read_log().contains("settings_reloaded")
    })
    .await
    .unwrap();

    assert_eq!(record.status, Status::Answered);
    let dump: Value = rig.admin.fetch_state(&rig.vm_specs[0]).await.unwrap();
    assert_eq!(dump["control"]["preset"], "ordinary");
}
