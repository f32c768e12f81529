//! Look-up answers, worked out ahead of the look-ups.

use {
    super::{Proximity, State, leaving_vms},
    crate::steering,
    std::time::Duration,
    steer::{Class, SiteSelector},
    wire::{Entry, Map, Member},
};

/// VMs in one answer.
const MAX_VMS: usize = 4;
/// VMs near a site among which the others of an answer are drawn.
const MAX_NEAR: usize = 12;

/// Answers by service and region, so that a look-up searches and computes nothing
/// whose cost grows with the fleet.
#[derive(Default)]
pub(crate) struct LookupIndex {
    /// By service: for each region, the sites and the choice among them.
    choices: Map<String, Vec<Sites>>,
    /// By pool: the VM that owns it.
    owners: Map<String, Entry>,
    /// By site: VMs in it, or else the nearest.
    near: Map<String, Vec<Entry>>,
    /// By region: its first site.
    homes: Vec<String>,
}

struct Sites {
    choice: SiteSelector,
    names: Vec<String>,
}

impl LookupIndex {
    /// Works out which VMs own pools and stand near sites, after members, owners or
    /// marks have changed.
    pub(crate) fn update_vms(&mut self, state: &State) {
        let serving = listed(state);
        let proximity = Proximity::of(&state.fleet, &serving);
        let sites = state.fleet.sites.iter().enumerate();
        self.near = sites
            .map(|(index, site)| (site.name.clone(), near(&proximity, index)))
            .collect();
        let by_name: Map<&str, &Member> = serving
            .iter()
            .map(|member| (member.name.as_str(), *member))
            .collect();
        let owned = state.pools.iter().filter_map(|(key, owned)| {
            let owner = by_name.get(owned.owner.as_deref()?)?;
            Some((steer::pool_name(&key.service, &key.site), entry(owner)))
        });
        self.owners = owned.collect();
        let home = |region: &settings::Region| {
            let mut sites = state.fleet.sites.iter();
            let site = sites.find(|site| site.region == region.name);
            site.map(|site| site.name.clone()).unwrap_or_default()
        };
        self.homes = state.fleet.regions.iter().map(home).collect();
    }

    /// Works out the choice among sites, as their waits and the preset have it now.
    pub(crate) fn update_site_selectors(&mut self, state: &State, now: Duration) {
        let class = Class::Idempotent;
        for service in &state.fleet.services {
            let regions = state.fleet.regions.iter();
            let sites = regions.map(|region| {
                let candidates =
                    steering::site_candidates(state, &service.name, &region.name, class, now);
                Sites {
                    choice: SiteSelector::from_candidates(&candidates),
                    names: candidates.into_iter().map(|one| one.site).collect(),
                }
            });
            self.choices.insert(service.name.clone(), sites.collect());
        }
    }

    /// The VMs for a caller: the owner of the best pool, then others near it in an
    /// order turned by chance.
    pub(crate) fn select_vms(
        &self,
        service: Option<&str>,
        region: usize,
        chance: f64,
    ) -> Vec<Entry> {
        let sites = service.and_then(|service| self.choices.get(service)?.get(region));
        let site = match sites {
            Some(sites) => sites
                .choice
                .pick(chance)
                .and_then(|site| sites.names.get(site)),
            None => self.homes.get(region),
        };
        let Some(site) = site else {
            return Vec::new();
        };
        let pool = service.map(|service| steer::pool_name(service, site));
        let owner = pool.and_then(|pool| self.owners.get(&pool));
        let near = self.near.get(site).map(Vec::as_slice).unwrap_or_default();
        let turn = scale(chance, near.len());
        let (before, after) = near.split_at(turn);
        let others = after.iter().chain(before);
        let others = others.filter(|one| owner.is_none_or(|owner| owner.name != one.name));
        owner
            .into_iter()
            .chain(others)
            .take(MAX_VMS)
            .cloned()
            .collect()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a part of a small count"
)]
fn scale(chance: f64, count: usize) -> usize {
    (chance * count as f64) as usize
}

/// VMs that callers may be sent to.
fn listed(state: &State) -> Vec<&Member> {
    let marked = leaving_vms(state.replica.current());
    let mut serving = state.view.serving_members();
    serving.retain(|member| {
        let name = member.name.as_str();
        state.view.is_alive(name) && !member.caller.is_empty() && !marked.contains(&name)
    });
    serving
}

/// VMs in a site; with fewer than an answer holds, others by nearness.
fn near(proximity: &Proximity<'_>, site: usize) -> Vec<Entry> {
    let mut near = Vec::new();
    for tier in 0..Proximity::TIERS {
        let most = if tier == 0 { MAX_NEAR } else { MAX_VMS };
        let here = proximity.members(site).filter(|(_, own)| *own == tier);
        let room = most.saturating_sub(near.len());
        near.extend(here.take(room).map(|(member, _)| entry(member)));
    }
    near
}

fn entry(member: &Member) -> Entry {
    Entry {
        name: member.name.clone(),
        zone: member.zone.clone(),
        url: format!("http://{}", member.caller),
    }
}
