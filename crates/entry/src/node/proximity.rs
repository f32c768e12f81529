//! Proximity of members to sites: same site, same region or elsewhere.

use {
    settings::Fleet,
    wire::{Map, Member},
};

/// Members with their sites, resolved once from the fleet settings so that many sites
/// can be compared against them.
pub(crate) struct Proximity<'a> {
    members: Vec<(&'a Member, Option<Location>)>,
    /// Region of each site, by position of the site in the fleet settings.
    site_regions: Vec<&'a str>,
}

/// Location of a member whose availability zone is in the fleet settings.
#[derive(Clone, Copy)]
struct Location {
    /// Position of the site in the fleet settings.
    site_index: usize,
}

impl<'a> Proximity<'a> {
    /// Number of proximity tiers: 0 is the same site, 1 the same region, 2 elsewhere.
    pub(crate) const TIERS: u8 = 3;

    /// Resolves the site of each member from its availability zone.
    pub(crate) fn new(fleet: &'a Fleet, members: &[&'a Member]) -> Self {
        let sites = fleet.sites.iter().enumerate();
        let zones = sites
            .flat_map(|(index, site)| site.zones.iter().map(move |zone| (zone.as_str(), index)));
        let site_by_zone: Map<&str, usize> = zones.collect();
        let locate = |member: &&'a Member| {
            let site_index = site_by_zone.get(member.zone.as_str());
            (
                *member,
                site_index.map(|index| Location { site_index: *index }),
            )
        };
        Self {
            members: members.iter().map(locate).collect(),
            site_regions: fleet
                .sites
                .iter()
                .map(|site| site.region.as_str())
                .collect(),
        }
    }

    /// Returns every member with its proximity tier, from 0 to `TIERS - 1`, relative to
    /// a site. A member in an unknown zone is in the last tier.
    pub(crate) fn members_with_tier(
        &self,
        site_index: usize,
    ) -> impl Iterator<Item = (&'a Member, u8)> {
        let tier = move |location: Option<Location>| match location {
            Some(location) if location.site_index == site_index => 0,
            Some(location)
                if self.site_regions[location.site_index] == self.site_regions[site_index] =>
            {
                1
            }
            _ => Self::TIERS - 1,
        };
        self.members
            .iter()
            .map(move |(member, location)| (*member, tier(*location)))
    }
}
