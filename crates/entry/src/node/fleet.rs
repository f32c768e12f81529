//! What the fleet's settings and the control document say about a pool.

use {
    settings::Fleet,
    steer::Limits,
    wire::{Document, Member},
};

/// How near a member is to a site: same site, same region, elsewhere.
pub(crate) fn tier(fleet: &Fleet, site: &str, member: &Member) -> u8 {
    let Some(home) = fleet.site_of_zone(&member.zone) else {
        return 2;
    };
    let region = |name: &str| {
        let found = fleet.sites.iter().find(|s| s.name == name);
        found.map(|s| s.region.clone())
    };
    if home.name == site {
        0
    } else if region(site).as_deref() == Some(home.region.as_str()) {
        1
    } else {
        2
    }
}

/// Rates that a pool may not exceed under the preset in force.
///
/// The caps of a region and of a link are divided between the region's pools by
/// their slots, so that the sum over all pools stays under the cap without any
/// message.
pub(crate) fn limits(fleet: &Fleet, document: &Document, service: &str, site: &str) -> Limits {
    let Some(home) = fleet.sites.iter().find(|s| s.name == site) else {
        return Limits::default();
    };
    let mine = slots(fleet, Some(service), |name| name == site);
    let in_region = |name: &str| {
        let found = fleet.sites.iter().find(|s| s.name == name);
        found.is_some_and(|s| s.region == home.region)
    };
    let all = slots(fleet, None, in_region);
    let part = |cap: u32| scale(cap, mine, all);
    let region = fleet.region(&home.region);
    let links = fleet.links.iter().filter(|link| link.to == home.region);
    let preset = fleet.preset(&document.preset);
    let share = preset.and_then(|preset| preset.shares.get(service));
    Limits {
        region: region.map(|region| part(region.requests_per_s)),
        shift: share.and_then(|share| share.shift_caps_requests_per_s.get(site).copied()),
        links: links
            .map(|link| (link.from.clone(), part(link.requests_per_s)))
            .collect(),
    }
}

fn slots(fleet: &Fleet, service: Option<&str>, site: impl Fn(&str) -> bool) -> u32 {
    let wanted = |s: &&settings::Service| service.is_none_or(|name| s.name == name);
    let services = fleet.services.iter().filter(wanted);
    let targets = services.flat_map(|s| &s.targets);
    let here = |t: &&settings::Target| {
        let home = fleet.site_of_zone(&t.zone);
        home.is_some_and(|home| site(&home.name))
    };
    targets.filter(here).map(|t| t.slots).sum()
}

/// `cap * part / whole`, rounded down but never to nothing.
fn scale(cap: u32, part: u32, whole: u32) -> u32 {
    let scaled = u64::from(cap) * u64::from(part) / u64::from(whole.max(1));
    u32::try_from(scaled).unwrap_or(u32::MAX).max(1)
}
