//! Checks that the expected traffic of each preset is within the limits of the regions.

use {
    super::types::{Fleet, Preset, Share},
    crate::ValidationError,
    std::collections::BTreeMap,
};

/// Adds an error for each preset and region whose expected rate exceeds the limit of the region.
pub(crate) fn check_presets(fleet: &Fleet, errors: &mut Vec<ValidationError>) {
    for (preset_index, preset) in fleet.presets.iter().enumerate() {
        check_region_limits(fleet, preset, preset_index, errors);
    }
}

fn check_region_limits(
    fleet: &Fleet,
    preset: &Preset,
    preset_index: usize,
    errors: &mut Vec<ValidationError>,
) {
    let mut expected_rates: BTreeMap<&str, u64> = BTreeMap::new();
    for share in preset.shares.values() {
        for site in &fleet.sites {
            let rate = expected_rate(share, &site.name);
            *expected_rates.entry(&site.region).or_default() += rate;
        }
    }
    for region in &fleet.regions {
        let rate = expected_rates
            .get(region.name.as_str())
            .copied()
            .unwrap_or(0);
        if rate > u64::from(region.max_requests_per_s) {
            let reason = format!(
                "preset {} expects {rate} requests/s in region {}, above its limit of {}",
                preset.name, region.name, region.max_requests_per_s
            );
            errors.push(ValidationError::new(
                format!("presets[{preset_index}].shares"),
                reason,
            ));
        }
    }
}

/// Returns the expected rate of one service at one site, in requests per second, rounded up.
fn expected_rate(share: &Share, site: &str) -> u64 {
    let total_weight: u64 = share.site_weights.values().copied().map(u64::from).sum();
    let weight = share.site_weights.get(site).copied().map_or(0, u64::from);
    if total_weight == 0 {
        return 0;
    }
    (u64::from(share.expected_requests_per_s) * weight).div_ceil(total_weight)
}
