//! Which targets may get work, whatever order and shape their rows come in.

use {
    catalog::{Catalog, State, Target},
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
        state: State::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms: 1,
    }
}

fn catalog(targets: &[Target]) -> Catalog {
    let mut catalog = Catalog::default();
    for (version, target) in (1..).zip(targets) {
        catalog.upsert(target.clone(), version, NOW);
    }
    catalog
}

fn usable(catalog: &Catalog) -> Vec<String> {
    let mut ids: Vec<String> = catalog.usable_targets("s").map(|t| t.id.clone()).collect();
    ids.sort();
    ids
}

#[test]
fn older_row_does_not_bring_a_target_back() {
    let mut catalog = catalog(&[target("a")]);

    let draining = Target {
        state: State::Draining,
        ..target("a")
    };
    catalog.upsert(draining, 9, NOW);
    let taken = catalog.upsert(target("a"), 8, NOW);

    assert!(!taken);
    assert_eq!(usable(&catalog), Vec::<String>::new());
}

#[test]
fn unreadable_row_takes_its_target_out_and_no_other() {
    let mut catalog = catalog(&[target("a"), target("b")]);

    catalog.remove("a", 9, false, NOW);

    assert_eq!(usable(&catalog), ["b"]);
}

#[test]
fn deletion_after_an_outage_holds_back_for_a_moment() {
    let mut catalog = catalog(&[target("a")]);

    catalog.remove("a", 9, true, NOW);
    let at_first = usable(&catalog);
    let expired = catalog.expire_deletions(NOW + Duration::from_secs(2));

    assert_eq!(at_first, ["a"]);
    assert_eq!(expired, ["a"]);
    assert_eq!(usable(&catalog), Vec::<String>::new());
}

#[test]
fn target_that_comes_back_after_an_outage_stays() {
    let mut catalog = catalog(&[target("a")]);

    catalog.remove("a", 9, true, NOW);
    catalog.upsert(target("a"), 10, NOW + Duration::from_secs(1));
    catalog.expire_deletions(NOW + Duration::from_secs(3));

    assert_eq!(usable(&catalog), ["a"]);
}

#[test]
fn target_is_cold_for_as_long_as_it_says() {
    let cold = Target {
        warmup_left: Duration::from_secs(3),
        ..target("a")
    };
    let catalog = catalog(&[cold]);

    assert!(catalog.is_cold("a", NOW + Duration::from_millis(2900)));
    assert!(!catalog.is_cold("a", NOW + Duration::from_secs(3)));
}

#[test]
fn target_that_starts_again_under_its_id_is_cold_anew() {
    let mut catalog = catalog(&[target("a")]);

    let again = Target {
        warmup_left: Duration::from_secs(2),
        started_at_ms: 2,
        ..target("a")
    };
    catalog.upsert(again, 9, NOW);

    assert!(catalog.is_cold("a", NOW + Duration::from_secs(1)));
}

#[test]
fn evacuated_zone_gets_nothing_and_comes_back_slowly() {
    let mut catalog = catalog(&[target("a")]);

    catalog.set_evacuation("z1", true, 9, NOW);
    let evacuated = usable(&catalog);
    catalog.set_evacuation("z1", false, 10, NOW);

    assert_eq!(evacuated, Vec::<String>::new());
    assert_eq!(usable(&catalog), ["a"]);
    assert!(catalog.is_cold("a", NOW + Duration::from_secs(1)));
    assert!(!catalog.is_cold("a", NOW + Duration::from_secs(2)));
}

#[test]
fn older_end_of_an_evacuation_is_ignored() {
    let mut catalog = catalog(&[target("a")]);

    catalog.set_evacuation("z1", true, 9, NOW);
    catalog.set_evacuation("z1", false, 8, NOW);

    assert!(catalog.is_evacuated("z1"));
}
