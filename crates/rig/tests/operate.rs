//! Operators' command-line tool against running VMs.

use {
    assert_cmd::{Command, assert::Assert},
    rig::{Options, Rig},
    serde_json::Value,
    std::{fs, path::PathBuf},
};

/// Runs the command-line tool against the first VM with a token.
fn run_cicadalift(rig: &Rig, token: &str, args: &[&str]) -> Assert {
    let token_path = rig.directory().join("token");
    fs::write(&token_path, token).unwrap();
    let executable = std::env::current_exe().unwrap();
    let program: PathBuf = executable.ancestors().nth(2).unwrap().join("cicadalift");
    Command::new(program)
        .arg("--vm")
        .arg(rig.vm_specs[0].operator_address.to_string())
        .arg("--token-file")
        .arg(token_path)
        .args(args)
        .assert()
}

fn stdout(assert: &Assert) -> String {
    String::from_utf8_lossy(&assert.get_output().stdout).into_owned()
}

const TOKEN: &str = "operator-token-of-the-rig\n";

#[actix_rt::test]
async fn exit_code_reports_the_result_of_a_change() {
    let rig = Rig::start(Options::default()).await.unwrap();

    let switched = run_cicadalift(&rig, TOKEN, &["switch", "peak"]).code(0);
    run_cicadalift(&rig, TOKEN, &["switch", "maintenance", "--expect", "1"]).code(3);
    run_cicadalift(&rig, TOKEN, &["switch", "no-such-preset"]).code(2);
    run_cicadalift(&rig, TOKEN, &["leave", "zone", "no-such-zone"]).code(2);
    run_cicadalift(&rig, "another-credential", &["status"]).code(1);

    assert!(
        stdout(&switched).contains("in force on 6 VMs"),
        "{}",
        stdout(&switched)
    );
}

#[actix_rt::test]
async fn leaving_mark_is_listed_until_it_is_removed() {
    let rig = Rig::start(Options::default()).await.unwrap();

    run_cicadalift(&rig, TOKEN, &["leave", "service-zone", "bibdesk/cebu-a"]).code(0);
    let leaving = run_cicadalift(&rig, TOKEN, &["status"]).code(0);
    run_cicadalift(&rig, TOKEN, &["return", "service-zone", "bibdesk/cebu-a"]).code(0);
    let returned = run_cicadalift(&rig, TOKEN, &["--json", "status"]).code(0);

    assert!(stdout(&leaving).contains("leaving: service-zone bibdesk/cebu-a"));
    let status: Value = serde_json::from_str(&stdout(&returned)).unwrap();
    assert_eq!(status["control"]["marks"], Value::Array(Vec::new()));
    assert_eq!(status["control"]["version"], 3);
}

#[actix_rt::test]
async fn dump_contains_all_sections_of_the_state() {
    let rig = Rig::start(Options::default()).await.unwrap();

    let dump = run_cicadalift(&rig, TOKEN, &["dump"]).code(0);

    let dump: Value = serde_json::from_str(&stdout(&dump)).unwrap();
    assert_eq!(dump["pools"].as_array().map(Vec::len), Some(9));
    for key in [
        "control",
        "members",
        "last_refusals",
        "quarantine",
        "retry_budgets",
    ] {
        assert!(!dump[key].is_null(), "{key}");
    }
}
