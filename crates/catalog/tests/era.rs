//! When the store counts as restored from an older snapshot.

use {
    catalog::{EraChange, EraTracker, NamedEra},
    wire::Revision,
};

/// Returns a tracker of a store that has named era 1 so far.
fn tracker() -> EraTracker {
    let mut tracker = EraTracker::default();
    tracker.follow(NamedEra::Number(1), 100, 1, None);
    tracker
}

#[test]
fn watch_in_the_known_era_is_continued() {
    let after = Revision::new(1, 100);

    let is_continued = tracker().is_continued(NamedEra::Number(1), Revision::new(1, 104), after);

    assert!(is_continued);
}

/// Guards against changes that are missed, because the version has passed the known one in a
/// newer era.
#[test]
fn watch_that_is_answered_in_another_era_is_not_continued() {
    let after = Revision::new(1, 100);

    for named in [
        NamedEra::Number(2),
        NamedEra::Number(0),
        NamedEra::Unreadable,
    ] {
        let revision = Revision::new(named.number(), 150);
        assert!(!tracker().is_continued(named, revision, after), "{named:?}");
    }
}

#[test]
fn full_read_in_a_newer_era_begins_it() {
    let change = tracker().follow(NamedEra::Number(4), 50, 1, Some(Revision::new(1, 100)));

    assert_eq!(change, EraChange::Begun(4));
}

/// Guards against an era that begins a second time, because another VM told of it first.
#[test]
fn era_learned_from_another_vm_does_not_begin_again() {
    let mut tracker = tracker();
    tracker.forget();

    let change = tracker.follow(NamedEra::Number(2), 50, 2, None);

    assert_eq!(change, EraChange::None);
}

/// Guards against a VM that keeps the rows of a history that is lost, because the store no longer
/// says so in a way that can be read.
#[test]
fn older_or_unreadable_era_is_assumed_to_be_a_new_one_once() {
    for named in [NamedEra::Number(0), NamedEra::Unreadable] {
        let mut tracker = tracker();

        let first = tracker.follow(named, 150, 1, Some(Revision::new(1, 100)));
        let second = tracker.follow(named, 151, 2, Some(Revision::new(2, 150)));

        assert_eq!(first, EraChange::Assumed(2), "{named:?}");
        assert_eq!(second, EraChange::None, "{named:?}");
    }
}

/// Guards against a store without eras that was restored from a snapshot.
#[test]
fn version_that_goes_back_without_a_new_era_is_assumed_to_begin_one() {
    let mut tracker = EraTracker::default();
    tracker.follow(NamedEra::Number(0), 100, 0, None);

    let change = tracker.follow(NamedEra::Number(0), 60, 0, Some(Revision::new(0, 100)));

    assert_eq!(change, EraChange::Assumed(1));
}

/// Guards against eras that never stop to rise, because each VM raises the one of the others.
#[test]
fn vms_that_follow_a_store_without_a_readable_era_settle_on_one() {
    let mut vms = [(tracker(), 1), (tracker(), 1), (tracker(), 1)];

    for round in 0..20_u64 {
        for index in 0..vms.len() {
            let highest = vms.iter().map(|(_, era)| *era).max().unwrap_or(0);
            let (tracker, era) = &mut vms[index];
            if highest > *era {
                tracker.forget();
                *era = highest;
            }
            let change = tracker.follow(NamedEra::Unreadable, 100 + round, *era, None);
            if let EraChange::Assumed(begun) = change {
                *era = begun;
            }
        }
    }

    assert!(vms.iter().all(|(_, era)| *era <= 4), "{vms:?}");
    assert!(vms.iter().all(|(_, era)| *era == vms[0].1), "{vms:?}");
}
