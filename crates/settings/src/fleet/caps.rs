//! Checks that a preset's expected traffic fits the limits it would meet.

use {
    super::types::{Fleet, Preset, Share},
    crate::ValidationError,
    std::collections::BTreeMap,
};

/// Adds a fault for each region or shift that a preset would push past its cap.
pub(crate) fn check_presets(fleet: &Fleet, faults: &mut Vec<ValidationError>) {
    for (i, preset) in fleet.presets.iter().enumerate() {
        check_regions(fleet, preset, i, faults);
    }
}

fn check_regions(fleet: &Fleet, preset: &Preset, i: usize, faults: &mut Vec<ValidationError>) {
    let mut expected: BTreeMap<&str, u64> = BTreeMap::new();
    for share in preset.shares.values() {
        for site in &fleet.sites {
            let rate = rate_of(share, &site.name);
            *expected.entry(&site.region).or_default() += rate;
        }
    }
    for region in &fleet.regions {
        let rate = expected.get(region.name.as_str()).copied().unwrap_or(0);
        if rate > u64::from(region.max_requests_per_s) {
            let reason = format!(
                "preset {} expects {rate} requests/s in {}, over its cap of {}",
                preset.name, region.name, region.max_requests_per_s
            );
            faults.push(ValidationError::new(format!("presets[{i}].shares"), reason));
        }
    }
}

/// Expected rate of one service at one site, rounded up.
fn rate_of(share: &Share, site: &str) -> u64 {
    let total: u64 = share.site_weights.values().copied().map(u64::from).sum();
    let weight = share.site_weights.get(site).copied().map_or(0, u64::from);
    if total == 0 {
        return 0;
    }
    (u64::from(share.expected_requests_per_s) * weight).div_ceil(total)
}
