//! Lookup of the VMs that callers should send their requests to.

use {
    super::Node,
    std::time::Duration,
    wire::{Member, Status},
};

/// Time for which callers may cache a lookup, unless the operators set a lower maximum.
const TTL: Duration = Duration::from_secs(1);
/// With fewer available VMs than this in the caller's zone, those of its region are returned.
const MIN_VMS: usize = 1;
/// Maximum number of addresses in one lookup.
const MAX_VMS: usize = 64;

/// The VMs that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmLookup {
    /// Addresses at which callers reach the VMs; empty if no VM is available.
    pub addresses: Vec<String>,
    /// Time for which the addresses may be cached.
    pub ttl: Duration,
}

impl Node {
    /// Returns the VMs that a caller in a zone should use for a host: those of its zone, or if too few
    /// are available there, those of its region, or if there are none, all. Of all VMs, those in
    /// regions that the host's routes are bound to go before others. This VM is included only if it
    /// is ready.
    #[must_use]
    pub fn lookup_vms(&self, host: &str, zone: &str) -> VmLookup {
        let view = self.member_view();
        let local = view.local_member().clone();
        let peers = view.peers();
        let is_ready = self.is_ready();
        let own = std::iter::once(&local).filter(|_| is_ready);
        let others = peers.into_iter().filter(|m| m.status == Status::Alive);
        let available: Vec<&Member> = own.chain(others).collect();
        let region = self.settings.region_of(zone);
        let is_in_zone = |m: &&&Member| m.zone == zone;
        let is_in_region = |m: &&&Member| self.settings.region_of(&m.zone) == region;
        let mut selected: Vec<&Member> = available.iter().filter(is_in_zone).copied().collect();
        if selected.len() < MIN_VMS {
            selected = available.iter().filter(is_in_region).copied().collect();
        }
        if selected.is_empty() {
            selected = self.prefer_bound_regions(host, available);
        }
        selected.truncate(MAX_VMS);
        VmLookup {
            addresses: selected.into_iter().map(|m| m.caller.clone()).collect(),
            ttl: TTL.min(self.bounds().max_ttl),
        }
    }

    /// Returns the VMs in the regions that the routes of a host are bound to, or all if there are none.
    fn prefer_bound_regions<'a>(&self, host: &str, vms: Vec<&'a Member>) -> Vec<&'a Member> {
        let table = self.route_table();
        let regions = table.common_regions(host);
        let is_bound = |m: &&&Member| regions.contains(&self.settings.region_of(&m.zone));
        let bound: Vec<&Member> = vms.iter().filter(is_bound).copied().collect();
        if bound.is_empty() { vms } else { bound }
    }
}
