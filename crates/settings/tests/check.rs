//! Error messages for invalid settings files, and validity of the shipped files.

use {
    expect_test::{Expect, expect},
    std::{fs, path::PathBuf},
};

fn shipped_file(customer: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../settings")
        .join(format!("{customer}.yaml"))
}

/// Replaces the first `old` in the settings of Takbo by `new`, and compares the error
/// message of loading it.
fn assert_load_error(old: &str, new: &str, expected: &Expect) {
    let text = fs::read_to_string(shipped_file("takbo")).unwrap();
    assert!(text.contains(old), "{old:?} is not in the settings");
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("fleet.yaml");
    fs::write(&path, text.replacen(old, new, 1)).unwrap();

    let error = settings::load_fleet(&path).unwrap_err().to_string();

    let shown = error.replace(&directory.path().display().to_string(), "FOLDER");
    expected.assert_eq(&shown);
}

#[test]
fn shipped_files_have_specified_sizes() {
    let takbo = settings::load_fleet(&shipped_file("takbo")).unwrap();
    let haneul = settings::load_fleet(&shipped_file("haneul")).unwrap();

    let sizes = |fleet: &settings::Fleet| -> Vec<(String, usize, u32, u32)> {
        let size = |s: &settings::Service| {
            (
                s.name.clone(),
                s.targets.len(),
                s.targets[0].slots,
                s.targets[0].max_connections,
            )
        };
        fleet.services.iter().map(size).collect()
    };
    expect![[r#"[("bibdesk", 14, 4, 350), ("payline", 12, 3, 350), ("racegate", 12, 4, 350)]"#]]
        .assert_eq(&format!("{:?}", sizes(&takbo)));
    expect![[
        r#"[("comps-svc", 16, 3, 400), ("billing-svc", 12, 3, 400), ("valuation-svc", 12, 3, 400)]"#
    ]]
    .assert_eq(&format!("{:?}", sizes(&haneul)));
}

#[test]
fn unknown_key_is_reported() {
    assert_load_error(
        "firm: takbo",
        "firm: takbo\ncolour: red",
        &expect![
            "FOLDER/fleet.yaml: line 2 column 1: unknown field `colour`, expected one of firm, regions, sites, links, clients, services, presets, first_preset at line 2, column 1"
        ],
    );
}

#[test]
fn undefined_zone_is_reported() {
    assert_load_error(
        "zone: pasig-a,",
        "zone: pasig-z,",
        &expect![[
            r#"FOLDER/fleet.yaml: services[0].targets[0].zone: availability zone "pasig-z" does not exist"#
        ]],
    );
}

#[test]
fn zero_slots_and_fewer_connections_than_slots_are_rejected() {
    assert_load_error(
        "slots: 4, connections: 350",
        "slots: 0, connections: 0",
        &expect!["FOLDER/fleet.yaml: services[0].targets[0].slots: must be above 0"],
    );
    assert_load_error(
        "slots: 4, connections: 350",
        "slots: 4, connections: 3",
        &expect![
            "FOLDER/fleet.yaml: services[0].targets[0].connections: must be at least the number of slots (4)"
        ],
    );
}

#[test]
fn preset_above_region_limit_is_rejected() {
    assert_load_error(
        "expected_requests_per_s: 900",
        "expected_requests_per_s: 2900",
        &expect![["
            FOLDER/fleet.yaml: presets[1].shares: preset peak expects 1027 requests/s in region luzon, above its limit of 900
            FOLDER/fleet.yaml: presets[1].shares: preset peak expects 1147 requests/s in region visayas, above its limit of 900
            FOLDER/fleet.yaml: presets[1].shares: preset peak expects 1027 requests/s in region mindanao, above its limit of 900"]],
    );
}

#[test]
fn duplicate_target_name_is_rejected() {
    assert_load_error(
        "bibdesk-pasig-a-2",
        "bibdesk-pasig-a-1",
        &expect![[
            r#"FOLDER/fleet.yaml: services.targets.name: "bibdesk-pasig-a-1" is listed twice"#
        ]],
    );
}

#[test]
fn invalid_yaml_is_rejected() {
    assert_load_error(
        "regions:",
        "regions: [",
        &expect![[
            r#"FOLDER/fleet.yaml: line 6 column 3: "-" is only valid inside a block at line 6, column 3"#
        ]],
    );
}

#[test]
fn undefined_initial_preset_is_rejected() {
    assert_load_error(
        "first_preset: ordinary",
        "first_preset: quiet",
        &expect![[r#"FOLDER/fleet.yaml: first_preset: preset "quiet" does not exist"#]],
    );
}

#[test]
fn missing_file_is_reported() {
    let error = settings::load_fleet(&PathBuf::from("no-such.yaml"))
        .unwrap_err()
        .to_string();

    expect!["no-such.yaml: cannot read the file: No such file or directory (os error 2)"]
        .assert_eq(&error);
}
