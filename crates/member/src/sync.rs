//! Decides when a VM takes over all membership records of another one, and of which.

use {
    rand::{Rng, seq::IteratorRandom},
    std::time::Duration,
    wire::{Member, Status},
};

/// Delays before the first synchronizations. VMs that start together know few others at first.
const FIRST_DELAYS: [Duration; 10] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(200),
    Duration::from_millis(300),
    Duration::from_millis(300),
    Duration::from_millis(500),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(1),
    Duration::from_secs(2),
];
/// Delay before each later synchronization.
const DELAY: Duration = Duration::from_secs(30);
/// Number of VMs of other zones that a VM pings when it discovers many at once.
const MAX_DISTANT_PINGS: usize = 8;

/// Returns the delay before the synchronization that follows so many others.
#[must_use]
pub fn delay_before_sync(previous_count: usize) -> Duration {
    FIRST_DELAYS.get(previous_count).copied().unwrap_or(DELAY)
}

/// Which records are taken over from a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All that a member of the same zone has.
    All,
    /// Those of its own zone that a member of another zone has.
    Zone,
}

/// Returns what is taken over in the synchronization that follows so many others. Every second one
/// also brings the records of another zone, which the VMs of a zone then pass on to each other.
#[must_use]
pub fn sync_scopes(previous_count: usize) -> &'static [Scope] {
    if previous_count.is_multiple_of(2) {
        &[Scope::All]
    } else {
        &[Scope::All, Scope::Zone]
    }
}

/// Chooses the member whose records are taken over, one that is alive if possible, at random among
/// equals. Without another member in the zone, it is one of any zone.
pub fn choose_sync_partner<'a>(
    zone: &str,
    scope: Scope,
    peers: impl IntoIterator<Item = &'a Member>,
    rng: &mut impl Rng,
) -> Option<&'a Member> {
    let ranked = peers.into_iter().map(|member| {
        let is_in_scope = (member.zone == zone) == (scope == Scope::All);
        let is_alive = member.status == Status::Alive;
        ((is_in_scope, is_alive, rng.random::<u32>()), member)
    });
    ranked
        .max_by_key(|(rank, _)| *rank)
        .map(|(_, member)| member)
}

/// Chooses the members to ping of those that were discovered at once: all of the same zone and a few
/// others. The rest is learned from records of these.
pub fn choose_first_contacts<'a>(
    zone: &str,
    discovered: &'a [Member],
    rng: &mut impl Rng,
) -> Vec<&'a Member> {
    let near = discovered.iter().filter(|member| member.zone == zone);
    let distant = discovered.iter().filter(|member| member.zone != zone);
    let distant = distant.choose_multiple(rng, MAX_DISTANT_PINGS);
    near.chain(distant).collect()
}
