//! The operators' command line against running VMs.

use {
    assert_cmd::{Command, assert::Assert},
    rig::{Options, Rig},
    serde_json::Value,
    std::{fs, path::PathBuf},
};

/// Runs the command line against the first VM, with a credential.
fn operate(rig: &Rig, token: &str, args: &[&str]) -> Assert {
    let file = rig.directory().join("token");
    fs::write(&file, token).unwrap();
    let own = std::env::current_exe().unwrap();
    let program: PathBuf = own.ancestors().nth(2).unwrap().join("cicadalift");
    Command::new(program)
        .arg("--vm")
        .arg(rig.vm_specs[0].operator_address.to_string())
        .arg("--token-file")
        .arg(file)
        .args(args)
        .assert()
}

fn output(assert: &Assert) -> String {
    String::from_utf8_lossy(&assert.get_output().stdout).into_owned()
}

const TOKEN: &str = "operator-token-of-the-rig\n";

#[actix_rt::test]
async fn exit_codes_tell_scripts_what_became_of_a_change() {
    let rig = Rig::start(Options::default()).await.unwrap();

    let switched = operate(&rig, TOKEN, &["switch", "peak"]).code(0);
    operate(&rig, TOKEN, &["switch", "maintenance", "--expect", "1"]).code(3);
    operate(&rig, TOKEN, &["switch", "no-such-preset"]).code(2);
    operate(&rig, TOKEN, &["leave", "zone", "no-such-zone"]).code(2);
    operate(&rig, "another-credential", &["status"]).code(1);

    assert!(
        output(&switched).contains("in force on 6 VMs"),
        "{}",
        output(&switched)
    );
}

#[actix_rt::test]
async fn mark_is_shown_until_it_is_taken_back() {
    let rig = Rig::start(Options::default()).await.unwrap();

    operate(&rig, TOKEN, &["leave", "service-zone", "bibdesk/cebu-a"]).code(0);
    let leaving = operate(&rig, TOKEN, &["status"]).code(0);
    operate(&rig, TOKEN, &["return", "service-zone", "bibdesk/cebu-a"]).code(0);
    let back = operate(&rig, TOKEN, &["--json", "status"]).code(0);

    assert!(output(&leaving).contains("leaving: service-zone bibdesk/cebu-a"));
    let status: Value = serde_json::from_str(&output(&back)).unwrap();
    assert_eq!(status["control"]["marks"], Value::Array(Vec::new()));
    assert_eq!(status["control"]["version"], 3);
}

#[actix_rt::test]
async fn dump_shows_what_steers() {
    let rig = Rig::start(Options::default()).await.unwrap();

    let dump = operate(&rig, TOKEN, &["dump"]).code(0);

    let dump: Value = serde_json::from_str(&output(&dump)).unwrap();
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
