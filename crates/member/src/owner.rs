//! Which VM runs the queue of a pool.

use {wire::Member, xxhash_rust::xxh3::xxh3_64};

/// Chooses the owner of a pool by rendezvous hashing over the serving members.
///
/// Members for which `tier` is lowest come first: those in the pool's site, then
/// those in its region, then all others. A member that leaves moves only its own pools.
#[must_use]
pub fn owner<'a>(
    pool: &str,
    serving: &[&'a Member],
    tier: impl Fn(&Member) -> u8,
) -> Option<&'a Member> {
    let best = serving
        .iter()
        .min_by_key(|member| (tier(member), std::cmp::Reverse(weight(pool, &member.name))));
    best.copied()
}

fn weight(pool: &str, member: &str) -> u64 {
    let mut text = String::with_capacity(pool.len() + member.len() + 1);
    text.push_str(pool);
    text.push('\n');
    text.push_str(member);
    xxh3_64(text.as_bytes())
}
