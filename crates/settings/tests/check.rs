//! Bad files get file, key and reason; the shipped files are fine.

use {
    expect_test::{Expect, expect},
    std::{fs, path::PathBuf},
};

fn shipped(firm: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../settings")
        .join(format!("{firm}.yaml"))
}

/// Checks Takbo's settings with one piece of text replaced.
fn check(old: &str, new: &str, expected: &Expect) {
    let text = fs::read_to_string(shipped("takbo")).unwrap();
    assert!(text.contains(old), "{old:?} is not in the settings");
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("fleet.yaml");
    fs::write(&path, text.replacen(old, new, 1)).unwrap();

    let error = settings::load_fleet(&path).unwrap_err().to_string();

    let shown = error.replace(&folder.path().display().to_string(), "FOLDER");
    expected.assert_eq(&shown);
}

#[test]
fn shipped_settings_have_the_sizes_of_the_brief() {
    let takbo = settings::load_fleet(&shipped("takbo")).unwrap();
    let haneul = settings::load_fleet(&shipped("haneul")).unwrap();

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
fn unknown_key_is_named() {
    check(
        "firm: takbo",
        "firm: takbo\ncolour: red",
        &expect![
            "FOLDER/fleet.yaml: line 2 column 1: unknown field `colour`, expected one of firm, regions, sites, links, clients, services, presets, first_preset at line 2, column 1"
        ],
    );
}

#[test]
fn zone_that_does_not_exist_is_named() {
    check(
        "zone: pasig-a,",
        "zone: pasig-z,",
        &expect![[
            r#"FOLDER/fleet.yaml: services[0].targets[0].zone: availability zone "pasig-z" does not exist"#
        ]],
    );
}

#[test]
fn zero_slots_and_too_few_connections_are_listed_together() {
    check(
        "slots: 4, connections: 350",
        "slots: 0, connections: 0",
        &expect!["FOLDER/fleet.yaml: services[0].targets[0].slots: must be above 0"],
    );
    check(
        "slots: 4, connections: 350",
        "slots: 4, connections: 3",
        &expect![
            "FOLDER/fleet.yaml: services[0].targets[0].connections: must be at least the 4 slots"
        ],
    );
}

#[test]
fn preset_over_a_cap_is_refused() {
    check(
        "expected_requests_per_s: 900",
        "expected_requests_per_s: 2900",
        &expect![["
            FOLDER/fleet.yaml: presets[1].shares: preset peak expects 1027 requests/s in luzon, over its cap of 900
            FOLDER/fleet.yaml: presets[1].shares: preset peak expects 1147 requests/s in visayas, over its cap of 900
            FOLDER/fleet.yaml: presets[1].shares: preset peak expects 1027 requests/s in mindanao, over its cap of 900"]],
    );
}

#[test]
fn duplicate_target_is_refused() {
    check(
        "bibdesk-pasig-a-2",
        "bibdesk-pasig-a-1",
        &expect![[
            r#"FOLDER/fleet.yaml: services.targets.name: "bibdesk-pasig-a-1" is listed twice"#
        ]],
    );
}

#[test]
fn text_that_is_not_yaml_is_refused() {
    check(
        "regions:",
        "regions: [",
        &expect![[
            r#"FOLDER/fleet.yaml: line 6 column 3: "-" is only valid inside a block at line 6, column 3"#
        ]],
    );
}

#[test]
fn preset_that_does_not_exist_is_refused() {
    check(
        "first_preset: ordinary",
        "first_preset: quiet",
        &expect![[r#"FOLDER/fleet.yaml: first_preset: preset "quiet" does not exist"#]],
    );
}

#[test]
fn missing_file_is_named() {
    let error = settings::load_fleet(&PathBuf::from("no-such.yaml"))
        .unwrap_err()
        .to_string();

    expect!["no-such.yaml: file: No such file or directory (os error 2)"].assert_eq(&error);
}
