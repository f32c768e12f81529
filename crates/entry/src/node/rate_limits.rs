//! Rate limits of a pool under the fleet settings and the control document.

use {super::PoolKey, settings::Fleet, steer::RateLimits, wire::Document};

/// Returns the rate limits of a pool under the preset in force, in requests per second.
///
/// The caps of a region and of a link are divided between the region's pools in
/// proportion to their slots, so that the sum over all pools stays below the cap
/// without coordination between the owners. The last argument holds the slots of the
/// pool and of the whole region.
pub(crate) fn rate_limits(
    fleet: &Fleet,
    document: &Document,
    key: &PoolKey,
    region: &str,
    (pool_slots, region_slots): (u32, u32),
) -> RateLimits {
    let divide = |cap: u32| proportion(cap, pool_slots, region_slots);
    let links = fleet.links.iter().filter(|link| link.to == region);
    let preset = fleet.preset(&document.preset);
    let share = preset.and_then(|preset| preset.shares.get(&key.service));
    let shift_cap = share.and_then(|share| share.shift_caps_requests_per_s.get(&key.site));
    RateLimits {
        region_per_s: fleet
            .region(region)
            .map(|region| divide(region.max_requests_per_s)),
        shift_per_s: shift_cap.copied(),
        links_per_s: links
            .map(|link| (link.from.clone(), divide(link.max_requests_per_s)))
            .collect(),
    }
}

/// Returns `cap * part / whole`, rounded down but at least 1.
fn proportion(cap: u32, part: u32, whole: u32) -> u32 {
    let divided = u64::from(cap) * u64::from(part) / u64::from(whole.max(1));
    u32::try_from(divided).unwrap_or(u32::MAX).max(1)
}
