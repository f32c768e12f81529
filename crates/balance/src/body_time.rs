//! How long the body of a response is awaited alone, before its request is sent to another target beside.

use std::time::Duration;

/// Time kept for another attempt, in latency objectives: one for a wait until the next target has room,
/// and one for its response.
const OBJECTIVES_KEPT: u32 = 2;
/// Part of the time left that is kept, at most.
const MAX_PART_KEPT: u32 = 2;

/// Returns the time after which a body that states no length is not awaited alone any longer, out of
/// the `time_left` of its request.
///
/// Such a body may have no end. Two latency `objective`s are kept for another attempt, or half of the
/// time left if that is less. The body is awaited on meanwhile, as that attempt may not be possible, or
/// no quicker.
#[must_use]
pub fn body_time(time_left: Duration, objective: Duration) -> Duration {
    let kept = objective
        .saturating_mul(OBJECTIVES_KEPT)
        .min(time_left / MAX_PART_KEPT);
    time_left.saturating_sub(kept)
}
