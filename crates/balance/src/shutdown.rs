//! Requests at a VM that is about to end.

use std::time::Duration;

/// Returns whether a request may still be sent to a target, `until_end` before the VM ends: whether
/// its response is expected by then. Another VM has more time for one that is refused at once.
#[must_use]
pub fn may_begin(until_end: Duration, expected_run: Duration) -> bool {
    expected_run < until_end
}
