//! Which VM of a zone follows the store, and from which one the others hear.

use {crate::rendezvous_weight, std::cmp::Reverse};

/// VMs that one follower of the store tells of changes, itself included.
const GROUP: usize = 30;

/// The VM from which this one hears of changes; `None` if it is to follow the store itself.
///
/// `others` are the VMs of the zone that are alive, without this one. All VMs with the same
/// view choose the same followers, one for each thirty.
#[must_use]
pub fn select_update_source<'a>(
    own: &'a str,
    others: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let mut all: Vec<&str> = others.into_iter().chain([own]).collect();
    all.sort_by_key(|name| Reverse(rendezvous_weight("store", name)));
    all.truncate(all.len().div_ceil(GROUP));
    if all.contains(&own) {
        return None;
    }
    all.into_iter()
        .max_by_key(|name| rendezvous_weight(own, name))
}
