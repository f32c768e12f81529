//! Simulation of workloads, and validation of workload files.

use {
    measure::{LoadView, Workload, WorkloadError, simulate},
    std::{fs, path::Path},
};

type Result = std::result::Result<(), Box<dyn std::error::Error>>;

fn shipped_workloads_directory() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../settings/scenes")
}

/// Returns a workload whose targets have far more capacity than load.
fn build_idle_workload() -> std::result::Result<Workload, WorkloadError> {
    let mut workload = Workload::read(&shipped_workloads_directory().join("takbo.yaml"))?;
    for kind in &mut workload.kinds {
        kind.per_s = 2.0;
        kind.work_ms = 10.0;
    }
    Ok(workload)
}

#[test]
fn shipped_workloads_are_valid() -> Result {
    for entry in fs::read_dir(shipped_workloads_directory())? {
        let workload = Workload::read(&entry?.path())?;

        assert!(!workload.kinds.is_empty());
    }
    Ok(())
}

#[test]
fn idle_workload_is_answered_in_time_with_either_load_view() -> Result {
    let workload = build_idle_workload()?;

    for load_view in [LoadView::Global, LoadView::Local] {
        for (name, summary) in simulate(&workload, load_view, 1) {
            assert_eq!(summary.in_time, summary.sent, "{name}");
        }
    }
    Ok(())
}

#[test]
fn same_seed_produces_the_same_result() -> Result {
    let workload = Workload::read(&shipped_workloads_directory().join("takbo.yaml"))?;

    let first = simulate(&workload, LoadView::Local, 7);
    let second = simulate(&workload, LoadView::Local, 7);

    let counts = |result: &[(String, measure::KindSummary)]| -> Vec<(u32, u32)> {
        result
            .iter()
            .map(|(_, summary)| (summary.in_time, summary.late))
            .collect()
    };
    assert_eq!(counts(&first), counts(&second));
    Ok(())
}

#[test]
fn request_kind_with_an_unknown_service_is_rejected() -> Result {
    let directory = tempfile::tempdir()?;
    let path = directory.path().join("day.yaml");
    let text = fs::read_to_string(shipped_workloads_directory().join("haneul.yaml"))?;
    fs::write(&path, text.replace("service: billing", "service: nothing"))?;

    let result = Workload::read(&path);

    assert!(
        matches!(result, Err(WorkloadError::Inconsistent(_))),
        "{result:?}"
    );
    Ok(())
}
