//! Which targets are usable, in whatever order their rows arrive.

use {
    catalog::{Catalog, Target, TargetState},
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn target(id: &str) -> Target {
    Target {
        id: id.to_owned(),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: "z1".to_owned(),
        slots: 3,
        state: TargetState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}

fn catalog_of(targets: &[Target]) -> Catalog {
    let mut catalog = Catalog::default();
    for (version, target) in (1..).zip(targets) {
        catalog.upsert(target.clone(), version, NOW);
    }
    catalog
}

fn usable_ids(catalog: &Catalog) -> Vec<String> {
    let mut ids: Vec<String> = catalog.usable_targets("s").map(|t| t.id.clone()).collect();
    ids.sort();
    ids
}

#[test]
fn older_row_does_not_revert_a_draining_target() {
    let mut catalog = catalog_of(&[target("a")]);

    let draining = Target {
        state: TargetState::Draining,
        ..target("a")
    };
    catalog.upsert(draining, 9, NOW);
    let was_applied = catalog.upsert(target("a"), 8, NOW);

    assert!(!was_applied);
    assert_eq!(usable_ids(&catalog), Vec::<String>::new());
}

#[test]
fn removal_for_invalid_row_affects_only_its_target() {
    let mut catalog = catalog_of(&[target("a"), target("b")]);

    catalog.remove("a", 9, false, NOW);

    assert_eq!(usable_ids(&catalog), ["b"]);
}

#[test]
fn deletion_after_store_outage_takes_effect_after_grace() {
    let mut catalog = catalog_of(&[target("a")]);

    catalog.remove("a", 9, true, NOW);
    let before_grace_ends = usable_ids(&catalog);
    let expired = catalog.expire_deletions(NOW + Duration::from_secs(2));

    assert_eq!(before_grace_ends, ["a"]);
    assert_eq!(expired, ["a"]);
    assert_eq!(usable_ids(&catalog), Vec::<String>::new());
}

#[test]
fn target_that_registers_again_after_store_outage_is_kept() {
    let mut catalog = catalog_of(&[target("a")]);

    catalog.remove("a", 9, true, NOW);
    catalog.upsert(target("a"), 10, NOW + Duration::from_secs(1));
    catalog.expire_deletions(NOW + Duration::from_secs(3));

    assert_eq!(usable_ids(&catalog), ["a"]);
}

#[test]
fn target_is_cold_for_its_reported_warmup_time() {
    let cold = Target {
        warmup_left: Duration::from_secs(3),
        ..target("a")
    };
    let catalog = catalog_of(&[cold]);

    assert!(catalog.is_cold("a", NOW + Duration::from_millis(2900)));
    assert!(!catalog.is_cold("a", NOW + Duration::from_secs(3)));
}

#[test]
fn restarted_target_with_same_id_is_cold_again() {
    let mut catalog = catalog_of(&[target("a")]);

    let restarted = Target {
        warmup_left: Duration::from_secs(2),
        started_at_ms: 2,
        ..target("a")
    };
    catalog.upsert(restarted, 9, NOW);

    assert!(catalog.is_cold("a", NOW + Duration::from_secs(1)));
}

#[test]
fn evacuated_zone_is_unusable_and_cold_after_its_return() {
    let mut catalog = catalog_of(&[target("a")]);

    catalog.set_evacuation("z1", true, 9, NOW);
    let usable_during_evacuation = usable_ids(&catalog);
    catalog.set_evacuation("z1", false, 10, NOW);

    assert_eq!(usable_during_evacuation, Vec::<String>::new());
    assert_eq!(usable_ids(&catalog), ["a"]);
    assert!(catalog.is_cold("a", NOW + Duration::from_secs(1)));
    assert!(!catalog.is_cold("a", NOW + Duration::from_secs(2)));
}

#[test]
fn evacuation_end_of_older_version_is_ignored() {
    let mut catalog = catalog_of(&[target("a")]);

    catalog.set_evacuation("z1", true, 9, NOW);
    catalog.set_evacuation("z1", false, 8, NOW);

    assert!(catalog.is_evacuated("z1"));
}
