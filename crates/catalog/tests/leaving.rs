//! Targets that state to VMs that they leave, while their row says that they are ready.

use {
    catalog::{Catalog, Target, TargetState},
    std::{net::SocketAddr, time::Duration},
    wire::Revision,
};

const ID: &str = "t";

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn target(started_at_ms: u64, report_number: u64) -> Target {
    Target {
        id: ID.to_owned(),
        service: "s".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        zone: "z".to_owned(),
        slots: 4,
        state: TargetState::Ready,
        warmup_left: Duration::ZERO,
        started_at_ms,
        report_number,
    }
}

fn leaving_catalog() -> Catalog {
    let mut catalog = Catalog::default();
    catalog.upsert(target(1, 1), Revision::new(0, 1), at(0));
    catalog.mark_leaving(ID, at(1000));
    catalog
}

#[test]
fn target_that_states_that_it_leaves_is_not_usable() {
    let mut catalog = Catalog::default();
    catalog.upsert(target(1, 1), Revision::new(0, 1), at(0));

    let is_new = catalog.mark_leaving(ID, at(1000));
    let again = catalog.mark_leaving(ID, at(1100));

    assert!(is_new);
    assert!(!again);
    assert!(!catalog.is_usable(ID));
    assert_eq!(catalog.usable_targets("s").count(), 0);
    assert_eq!(catalog.len(), 1);
}

/// Guards against a row that the target wrote before it decided to leave, and that arrives later.
#[test]
fn row_that_arrives_soon_after_does_not_bring_the_target_back() {
    let mut catalog = leaving_catalog();

    catalog.upsert(target(1, 2), Revision::new(0, 2), at(3000));

    assert!(!catalog.is_usable(ID));
}

/// Only the store's word that the target drained and is in service again counts.
#[test]
fn row_that_is_ready_after_draining_brings_the_target_back() {
    let mut catalog = leaving_catalog();
    let draining = Target {
        state: TargetState::Draining,
        ..target(1, 2)
    };
    catalog.upsert(draining, Revision::new(0, 2), at(2000));

    catalog.upsert(target(1, 9), Revision::new(0, 9), at(6000));

    assert!(catalog.is_usable(ID));
}

#[test]
fn restarted_target_does_not_leave() {
    let mut catalog = leaving_catalog();

    catalog.upsert(target(2, 1), Revision::new(0, 2), at(1500));

    assert!(catalog.is_usable(ID));
}

/// Guards against a statement that another VM passes on after the target came back into service.
#[test]
fn older_statement_does_not_take_the_target_away_again() {
    let mut catalog = leaving_catalog();
    let draining = Target {
        state: TargetState::Draining,
        ..target(1, 2)
    };
    catalog.upsert(draining, Revision::new(0, 2), at(2000));
    catalog.upsert(target(1, 9), Revision::new(0, 9), at(6000));

    let is_new = catalog.mark_leaving(ID, at(900));

    assert!(!is_new);
    assert!(catalog.is_usable(ID));
}

/// Guards against a response of the earlier process that arrives after the row of the restarted one.
#[test]
fn request_from_before_a_restart_was_not_sent_to_the_known_process() {
    let mut catalog = leaving_catalog();

    catalog.upsert(target(2, 1), Revision::new(0, 2), at(2000));

    assert!(!catalog.is_of_known_process(ID, at(1999)));
    assert!(catalog.is_of_known_process(ID, at(2000)));
}

/// Guards against requests at a target that states that it leaves while its row is renewed as ready.
#[test]
fn renewed_rows_of_the_same_process_do_not_bring_the_target_back() {
    let mut catalog = leaving_catalog();

    let usable = (1..20).filter(|number| {
        catalog.upsert(
            target(1, 1 + number),
            Revision::new(0, 1 + number),
            at(1000 + 2000 * number),
        );
        catalog.is_usable(ID)
    });

    assert_eq!(usable.count(), 0);
}
