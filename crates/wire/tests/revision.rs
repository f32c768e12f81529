//! Order and text of revisions.

use wire::{InvalidRevision, Revision};

/// Guards against a row of an older era that beats one of a newer by its higher version.
#[test]
fn revision_of_newer_era_is_greater_whatever_its_version() {
    assert!(Revision::new(1, 5) > Revision::new(0, 140));
    assert!(Revision::new(1, 6) > Revision::new(1, 5));
}

#[test]
fn revision_survives_its_text() -> Result<(), InvalidRevision> {
    let revision = Revision::new(3, 42);

    assert_eq!(revision.to_string().parse::<Revision>()?, revision);
    Ok(())
}

#[test]
fn text_without_era_is_no_revision() {
    for text in ["", "42", "3.", ".42", "3.x", "3.4.2"] {
        assert!(text.parse::<Revision>().is_err(), "{text:?}");
    }
}
