//! The model of a day.

use {
    measure::{Day, DayError, Knowledge, play},
    std::{fs, path::Path},
};

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

fn shipped() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings/scenes")
}

/// A day on which each target has much more room than work.
fn idle() -> std::result::Result<Day, DayError> {
    let mut day = Day::read(&shipped().join("takbo.yaml"))?;
    for kind in &mut day.kinds {
        kind.per_s = 2.0;
        kind.work_ms = 10.0;
    }
    Ok(day)
}

#[test]
fn shipped_days_can_be_read() -> Result {
    for entry in fs::read_dir(shipped())? {
        let day = Day::read(&entry?.path())?;

        assert!(!day.kinds.is_empty());
    }
    Ok(())
}

#[test]
fn idle_day_earns_all_of_its_credit_whatever_vms_know() -> Result {
    let day = idle()?;

    for knowledge in [Knowledge::All, Knowledge::Own] {
        for (name, earned) in play(&day, knowledge, 1) {
            assert_eq!(earned.in_time, earned.sent, "{name}");
        }
    }
    Ok(())
}

#[test]
fn day_is_the_same_for_the_same_seed() -> Result {
    let day = Day::read(&shipped().join("takbo.yaml"))?;

    let once = play(&day, Knowledge::Own, 7);
    let again = play(&day, Knowledge::Own, 7);

    let counts = |played: &[(String, measure::Earned)]| -> Vec<(u32, u32)> {
        played.iter().map(|(_, e)| (e.in_time, e.late)).collect()
    };
    assert_eq!(counts(&once), counts(&again));
    Ok(())
}

#[test]
fn day_that_names_no_service_is_rejected() -> Result {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("day.yaml");
    let text = fs::read_to_string(shipped().join("haneul.yaml"))?;
    fs::write(&path, text.replace("service: billing", "service: nothing"))?;

    let read = Day::read(&path);

    assert!(matches!(read, Err(DayError::Wrong(_))), "{read:?}");
    Ok(())
}
