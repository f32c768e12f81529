//! How often VMs of one zone tell each other their load.

use std::time::Duration;

/// Pause between two reports in a small zone.
const SHORTEST: Duration = Duration::from_millis(40);
/// Each further VM makes the pause longer by this, so that the datagrams that a VM sends
/// and gets in a second, 40 each way, do not grow with the zone.
const PER_VM: Duration = Duration::from_millis(25);
/// In a larger zone a report would be out of date before the next one.
const MAX_VMS: u32 = 24;

/// Pause between two reports to so many other VMs; `None` when they are of no use.
#[must_use]
pub fn report_pause(others: usize) -> Option<Duration> {
    let others = u32::try_from(others).unwrap_or(u32::MAX);
    (1..=MAX_VMS)
        .contains(&others)
        .then(|| (PER_VM * others).max(SHORTEST))
}
