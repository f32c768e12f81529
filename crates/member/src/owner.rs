//! Pool ownership by rendezvous hashing.

use {std::cmp::Reverse, wire::Member, xxhash_rust::xxh3::Xxh3};

/// Selects the member that owns a pool, or `None` when no member is serving.
///
/// `serving` lists each member with its tier: lowest in the pool's site, then in its
/// region, then elsewhere. The owner is the member of the lowest tier with the highest
/// rendezvous hash, so a member that leaves moves only the pools it owned.
#[must_use]
pub fn select_owner<'a>(
    pool: &str,
    serving: impl IntoIterator<Item = (&'a Member, u8)>,
) -> Option<&'a Member> {
    let members = serving.into_iter();
    let best = members.min_by_key(|(member, tier)| (*tier, Reverse(weight(pool, &member.name))));
    best.map(|(member, _)| member)
}

/// Returns the rendezvous hash of a pool and a member.
fn weight(pool: &str, member: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(pool.as_bytes());
    hash.update(b"\n");
    hash.update(member.as_bytes());
    hash.digest()
}
