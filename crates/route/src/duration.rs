//! Times that a configuration, a caller or a target states.

use std::time::Duration;

/// Longest time that counts: ten years. Sums of times, and points in time, do not overflow with it.
const MAX_TIME: Duration = Duration::from_hours(10 * 365 * 24);

/// Parses a number of milliseconds. One that is longer than any process lives counts as ten years.
/// Returns `None` if the number is negative, or none.
#[must_use]
pub fn parse_ms(ms: f64) -> Option<Duration> {
    let max_s = MAX_TIME.as_secs_f64();
    let is_time = ms >= 0.0;
    is_time.then(|| Duration::from_secs_f64((ms / 1000.0).min(max_s)))
}
