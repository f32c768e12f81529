//! Where members stand, by position in the fleet settings.

use {
    settings::Fleet,
    wire::{Map, Member},
};

/// Members with their sites and regions, looked up once for many comparisons.
pub(crate) struct Proximity<'a> {
    members: Vec<(&'a Member, Option<Place>)>,
    /// Region of each site.
    regions: Vec<&'a str>,
}

#[derive(Clone, Copy)]
struct Place {
    site: usize,
}

impl<'a> Proximity<'a> {
    /// How near a member can be to a site: in it, in its region, elsewhere.
    pub(crate) const TIERS: u8 = 3;

    pub(crate) fn of(fleet: &'a Fleet, members: &[&'a Member]) -> Self {
        let sites = fleet.sites.iter().enumerate();
        let zones =
            sites.flat_map(|(site, one)| one.zones.iter().map(move |zone| (zone.as_str(), site)));
        let zones: Map<&str, usize> = zones.collect();
        let place = |member: &&'a Member| {
            let site = zones.get(member.zone.as_str());
            (*member, site.map(|site| Place { site: *site }))
        };
        Self {
            members: members.iter().map(place).collect(),
            regions: fleet
                .sites
                .iter()
                .map(|site| site.region.as_str())
                .collect(),
        }
    }

    /// Every member with its nearness to a site.
    pub(crate) fn members(&self, site: usize) -> impl Iterator<Item = (&'a Member, u8)> {
        let tier = move |place: Option<Place>| match place {
            Some(place) if place.site == site => 0,
            Some(place) if self.regions[place.site] == self.regions[site] => 1,
            _ => Self::TIERS - 1,
        };
        self.members
            .iter()
            .map(move |(member, place)| (*member, tier(*place)))
    }
}
