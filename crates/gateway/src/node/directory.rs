//! Which VMs a caller should use.

use {
    super::Node,
    std::time::Duration,
    wire::{Member, Status},
};

/// Time for which a look-up holds.
const TTL: Duration = Duration::from_secs(1);
/// VMs that callers are spread over at least, where there are as many.
const MIN_VMS: usize = 1;
const MAX_VMS: usize = 64;

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmLookup {
    /// Addresses for callers.
    pub addresses: Vec<String>,
    /// Time for which they hold.
    pub ttl: Duration,
}

impl Node {
    /// The VMs that a caller in a zone should use: those of its zone, and where these are
    /// few, those of its region or all.
    #[must_use]
    pub fn lookup_vms(&self, zone: &str) -> VmLookup {
        let view = self.member_view();
        let me = view.local_member().clone();
        let peers = view.peers();
        let ready = self.is_ready();
        let own = std::iter::once(&me).filter(|_| ready);
        let others = peers.into_iter().filter(|m| m.status == Status::Alive);
        let alive: Vec<&Member> = own.chain(others).collect();
        let region = self.settings.region_of(zone);
        let near = |m: &&&Member| m.zone == zone;
        let regional = |m: &&&Member| self.settings.region_of(&m.zone) == region;
        let mut chosen: Vec<&Member> = alive.iter().filter(near).copied().collect();
        if chosen.len() < MIN_VMS {
            chosen = alive.iter().filter(regional).copied().collect();
        }
        if chosen.is_empty() {
            chosen = alive;
        }
        chosen.truncate(MAX_VMS);
        VmLookup {
            addresses: chosen.into_iter().map(|m| m.caller.clone()).collect(),
            ttl: TTL.min(self.bounds().max_ttl),
        }
    }
}
