//! Status codes of HTTP responses from targets.

use std::ops::RangeInclusive;

/// Statuses of final responses; see RFC 9110, section 15.
const FINAL: RangeInclusive<u16> = 200..=599;

/// Returns whether a status is that of a final response. Others are informational, change the protocol
/// of the connection, or are not defined, so that a caller cannot be given the response.
#[must_use]
pub fn is_final(status: u16) -> bool {
    FINAL.contains(&status)
}
