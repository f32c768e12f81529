//! Look-up answers, worked out ahead of the look-ups.

use {
    super::State,
    crate::{
        node::{marked_vms, tier},
        steering,
    },
    std::time::Duration,
    steer::{Choice, Class},
    wire::{Entry, Map, Member},
};

/// VMs in one answer.
const MAX_VMS: usize = 4;
/// VMs near a site among which the others of an answer are drawn.
const MAX_NEAR: usize = 12;

/// The VMs to name for a site.
#[derive(Default)]
struct Row {
    owner: Option<Entry>,
    near: Vec<Entry>,
}

/// Answers by service and region, so that a look-up searches and computes nothing
/// whose cost grows with the fleet.
#[derive(Default)]
pub(crate) struct Directory {
    /// By service: for each region, the sites and the choice among them.
    services: Map<String, Vec<Sites>>,
    /// By region, for look-ups that name no service.
    regions: Vec<Row>,
}

struct Sites {
    choice: Choice,
    rows: Vec<Row>,
}

impl Directory {
    /// Works out all answers.
    pub(crate) fn build(state: &State, now: Duration) -> Self {
        let serving = listed(state);
        let mut services = Map::default();
        for service in &state.fleet.services {
            let regions = state.fleet.regions.iter();
            let sites = regions.map(|region| {
                let class = Class::Idempotent;
                let candidates =
                    steering::candidates(state, &service.name, &region.name, class, now);
                let row = |site: &str| row(state, &serving, Some(&service.name), site);
                Sites {
                    choice: Choice::build(&candidates),
                    rows: candidates.iter().map(|one| row(&one.site)).collect(),
                }
            });
            services.insert(service.name.clone(), sites.collect());
        }
        let home = |region: &settings::Region| {
            let site = state
                .fleet
                .sites
                .iter()
                .find(|site| site.region == region.name);
            site.map(|site| row(state, &serving, None, &site.name))
                .unwrap_or_default()
        };
        Self {
            services,
            regions: state.fleet.regions.iter().map(home).collect(),
        }
    }

    /// The VMs for a caller: the owner of the best pool, then others near it.
    pub(crate) fn vms(&self, service: Option<&str>, region: usize, chance: f64) -> Vec<Entry> {
        let sites = service.and_then(|service| self.services.get(service)?.get(region));
        let row = match sites {
            Some(sites) => sites
                .choice
                .pick(chance)
                .and_then(|site| sites.rows.get(site)),
            None => self.regions.get(region),
        };
        row.map(|row| row.vms(chance)).unwrap_or_default()
    }
}

impl Row {
    /// The owner first, then others in an order turned by chance.
    fn vms(&self, chance: f64) -> Vec<Entry> {
        let count = self.near.len();
        let turn = scale(chance, count);
        let near = (0..count).map(|step| &self.near[(turn + step) % count]);
        let owner = self.owner.as_ref();
        let others = near.filter(|one| owner.is_none_or(|owner| owner.name != one.name));
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
    let marked = marked_vms(state.replica.current());
    let mut serving = state.view.serving();
    serving.retain(|member| !member.caller.is_empty() && !marked.contains(&member.name.as_str()));
    serving
}

fn row(state: &State, serving: &[&Member], service: Option<&str>, site: &str) -> Row {
    let owner = service.and_then(|service| owner_of(state, service, site));
    let owner = owner.and_then(|name| serving.iter().find(|member| member.name == name));
    let nearest = serving
        .iter()
        .map(|member| tier(&state.fleet, site, member))
        .min();
    let near = serving
        .iter()
        .filter(|member| Some(tier(&state.fleet, site, member)) == nearest);
    let mut near: Vec<Entry> = near.take(MAX_NEAR).map(|member| entry(member)).collect();
    if near.len() < MAX_VMS {
        let far = serving
            .iter()
            .filter(|member| Some(tier(&state.fleet, site, member)) != nearest);
        near.extend(far.take(MAX_VMS - near.len()).map(|member| entry(member)));
    }
    Row {
        owner: owner.map(|member| entry(member)),
        near,
    }
}

fn owner_of<'a>(state: &'a State, service: &str, site: &str) -> Option<&'a str> {
    let mut pools = state.pools.iter();
    let found = pools.find(|(key, _)| key.service == service && key.site == site);
    found.and_then(|(_, owned)| owned.owner.as_deref())
}

fn entry(member: &Member) -> Entry {
    Entry {
        name: member.name.clone(),
        zone: member.zone.clone(),
        url: format!("http://{}", member.caller),
    }
}
