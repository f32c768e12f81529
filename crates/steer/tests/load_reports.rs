//! Which load report of a pool counts.

use {std::time::Duration, steer::LoadReports, wire::Pool};

const NOW: Duration = Duration::from_secs(10);

/// Returns a report of an incarnation of the owner, with the wait that it states.
fn report(boot_ms: u64, beat: u64, wait_ms: u32) -> Pool {
    Pool {
        service: "s".to_owned(),
        site: "cebu-a".to_owned(),
        owner: "vm-1".to_owned(),
        boot_ms,
        beat,
        free: 0,
        queued: 0,
        wait_ms,
    }
}

fn expected_wait(reports: &LoadReports) -> Option<Duration> {
    reports.expected_wait("s", "cebu-a", NOW)
}

#[test]
fn older_report_of_the_same_incarnation_is_ignored() {
    let mut reports = LoadReports::default();

    reports.accept(&report(1, 7, 50), NOW);
    reports.accept(&report(1, 6, 90), NOW);

    assert_eq!(expected_wait(&reports), Some(Duration::from_millis(50)));
}

/// Guards against a pool whose load stays unknown, because its owner has restarted and counts its
/// reports anew.
#[test]
fn first_report_of_a_restarted_owner_replaces_the_last_one_before() {
    let mut reports = LoadReports::default();

    reports.accept(&report(1, 700, 50), NOW);
    reports.accept(&report(2, 1, 90), NOW);

    assert_eq!(expected_wait(&reports), Some(Duration::from_millis(90)));
}

/// Guards against a report of a lost process that another VM passes on after its restart.
#[test]
fn late_report_of_an_earlier_incarnation_is_ignored() {
    let mut reports = LoadReports::default();

    reports.accept(&report(2, 1, 90), NOW);
    reports.accept(&report(1, 701, 50), NOW);

    assert_eq!(expected_wait(&reports), Some(Duration::from_millis(90)));
}
