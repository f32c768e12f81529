//! What the fleet's settings and the control document say about a pool.

use {super::PoolKey, settings::Fleet, steer::RateLimits, wire::Document};

/// Rates that a pool may not exceed under the preset in force.
///
/// The caps of a region and of a link are divided between the region's pools by
/// their slots, given as the pool's and the region's, so that the sum over all
/// pools stays under the cap without any message.
pub(crate) fn rate_limits(
    fleet: &Fleet,
    document: &Document,
    key: &PoolKey,
    region: &str,
    (mine, all): (u32, u32),
) -> RateLimits {
    let part = |cap: u32| scale(cap, mine, all);
    let links = fleet.links.iter().filter(|link| link.to == region);
    let preset = fleet.preset(&document.preset);
    let share = preset.and_then(|preset| preset.shares.get(&key.service));
    let shift = share.and_then(|share| share.shift_caps_requests_per_s.get(&key.site));
    RateLimits {
        region_per_s: fleet
            .region(region)
            .map(|region| part(region.max_requests_per_s)),
        shift_per_s: shift.copied(),
        links_per_s: links
            .map(|link| (link.from.clone(), part(link.max_requests_per_s)))
            .collect(),
    }
}

/// `cap * part / whole`, rounded down but never to nothing.
fn scale(cap: u32, part: u32, whole: u32) -> u32 {
    let scaled = u64::from(cap) * u64::from(part) / u64::from(whole.max(1));
    u32::try_from(scaled).unwrap_or(u32::MAX).max(1)
}
