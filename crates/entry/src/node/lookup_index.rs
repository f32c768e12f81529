//! Precomputed index from which lookup responses are built.

use {
    super::{Proximity, State, leaving_vms},
    crate::steering,
    std::time::Duration,
    steer::{RequestClass, SiteSelector},
    wire::{Entry, Map, Member},
};

/// VMs in one lookup response.
const MAX_RESPONSE_VMS: usize = 4;
/// VMs in a site that are kept as candidates for lookup responses.
const MAX_SITE_VMS: usize = 12;

/// Lookup data indexed by service and region, so that the cost of a lookup does not
/// grow with the size of the fleet.
#[derive(Default)]
pub(crate) struct LookupIndex {
    /// Weighted site selection for each region (by position), keyed by service.
    selections: Map<String, Vec<SiteSelection>>,
    /// VM that owns each pool, keyed by pool name.
    owners: Map<String, Entry>,
    /// VMs in each site, supplemented by the nearest others, keyed by site name.
    nearby: Map<String, Vec<Entry>>,
    /// First site of each region, by position of the region.
    default_sites: Vec<String>,
}

/// Selector over the sites of a service, with their names by position.
struct SiteSelection {
    selector: SiteSelector,
    site_names: Vec<String>,
}

impl LookupIndex {
    /// Rebuilds the pool owners and the VMs near each site. Called after a change of
    /// the membership, the pool owners or the leaving marks.
    pub(crate) fn update_vms(&mut self, state: &State) {
        let serving = callable_members(state);
        let proximity = Proximity::new(&state.fleet, &serving);
        let sites = state.fleet.sites.iter().enumerate();
        self.nearby = sites
            .map(|(index, site)| (site.name.clone(), nearby_entries(&proximity, index)))
            .collect();
        let by_name: Map<&str, &Member> = serving
            .iter()
            .map(|member| (member.name.as_str(), *member))
            .collect();
        let owners = state.pools.iter().filter_map(|(key, pool_state)| {
            let owner = by_name.get(pool_state.owner.as_deref()?)?;
            Some((
                steer::pool_name(&key.service, &key.site),
                build_entry(owner),
            ))
        });
        self.owners = owners.collect();
        let default_site = |region: &settings::Region| {
            let mut sites = state.fleet.sites.iter();
            let site = sites.find(|site| site.region == region.name);
            site.map(|site| site.name.clone()).unwrap_or_default()
        };
        self.default_sites = state.fleet.regions.iter().map(default_site).collect();
    }

    /// Rebuilds the site selectors from the current expected waits and the preset in force.
    pub(crate) fn update_site_selectors(&mut self, state: &State, now: Duration) {
        let class = RequestClass::Idempotent;
        for service in &state.fleet.services {
            let regions = state.fleet.regions.iter();
            let selections = regions.map(|region| {
                let candidates =
                    steering::site_candidates(state, &service.name, &region.name, class, now);
                SiteSelection {
                    selector: SiteSelector::from_candidates(&candidates),
                    site_names: candidates
                        .into_iter()
                        .map(|candidate| candidate.site)
                        .collect(),
                }
            });
            self.selections
                .insert(service.name.clone(), selections.collect());
        }
    }

    /// Returns the VMs for a caller: first the owner of the selected pool, then other
    /// VMs near its site, starting at a random position.
    ///
    /// Without a known service, the VMs near the region's first site are returned. `random`
    /// is a number in `[0, 1)`. The result is empty if no site can be selected.
    pub(crate) fn select_vms(
        &self,
        service: Option<&str>,
        region_index: usize,
        random: f64,
    ) -> Vec<Entry> {
        let selection = service.and_then(|service| self.selections.get(service)?.get(region_index));
        let site = match selection {
            Some(selection) => selection
                .selector
                .pick(random)
                .and_then(|site| selection.site_names.get(site)),
            None => self.default_sites.get(region_index),
        };
        let Some(site) = site else {
            return Vec::new();
        };
        let pool = service.map(|service| steer::pool_name(service, site));
        let owner = pool.and_then(|pool| self.owners.get(&pool));
        let nearby = self.nearby.get(site).map(Vec::as_slice).unwrap_or_default();
        let start = random_index(random, nearby.len());
        let (before, after) = nearby.split_at(start);
        let others = after.iter().chain(before);
        let others = others.filter(|entry| owner.is_none_or(|owner| owner.name != entry.name));
        owner
            .into_iter()
            .chain(others)
            .take(MAX_RESPONSE_VMS)
            .cloned()
            .collect()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the product is below a small count"
)]
fn random_index(random: f64, count: usize) -> usize {
    (random * count as f64) as usize
}

/// Members that may appear in lookup responses: alive, with a caller address, and not
/// marked as leaving.
fn callable_members(state: &State) -> Vec<&Member> {
    let leaving = leaving_vms(state.replica.current());
    let mut serving = state.view.serving_members();
    serving.retain(|member| {
        let name = member.name.as_str();
        state.view.is_alive(name) && !member.caller.is_empty() && !leaving.contains(&name)
    });
    serving
}

/// Returns the VMs in a site. If they are fewer than a lookup response holds, VMs in
/// the region and then elsewhere are added.
fn nearby_entries(proximity: &Proximity<'_>, site_index: usize) -> Vec<Entry> {
    let mut entries = Vec::new();
    for tier in 0..Proximity::TIERS {
        let limit = if tier == 0 {
            MAX_SITE_VMS
        } else {
            MAX_RESPONSE_VMS
        };
        let in_tier = proximity
            .members_with_tier(site_index)
            .filter(|(_, member_tier)| *member_tier == tier);
        let remaining = limit.saturating_sub(entries.len());
        entries.extend(
            in_tier
                .take(remaining)
                .map(|(member, _)| build_entry(member)),
        );
    }
    entries
}

fn build_entry(member: &Member) -> Entry {
    Entry {
        name: member.name.clone(),
        zone: member.zone.clone(),
        url: format!("http://{}", member.caller),
    }
}
