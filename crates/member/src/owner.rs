//! Which VM runs the queue of a pool.

use {std::cmp::Reverse, wire::Member, xxhash_rust::xxh3::Xxh3};

/// Chooses the owner of a pool by rendezvous hashing over the serving members.
///
/// Members with the lowest tier come first: those in the pool's site, then those
/// in its region, then all others. A member that leaves moves only its own pools.
#[must_use]
pub fn select_owner<'a>(
    pool: &str,
    serving: impl IntoIterator<Item = (&'a Member, u8)>,
) -> Option<&'a Member> {
    let members = serving.into_iter();
    let best = members.min_by_key(|(member, tier)| (*tier, Reverse(weight(pool, &member.name))));
    best.map(|(member, _)| member)
}

fn weight(pool: &str, member: &str) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(pool.as_bytes());
    hash.update(b"\n");
    hash.update(member.as_bytes());
    hash.digest()
}
