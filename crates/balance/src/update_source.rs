//! Selects the VMs of a zone that poll the store and the VM from which each other VM receives
//! updates.

use {crate::rendezvous_weight, std::cmp::Reverse};

/// Number of VMs per follower of the store, the follower included.
const VMS_PER_FOLLOWER: usize = 30;

/// Returns the VM from which this VM receives updates, or `None` if it follows the store itself.
///
/// `others` are the live VMs of the zone without this one. All VMs that see the same members
/// select the same followers.
#[must_use]
pub fn select_update_source<'a>(
    own_name: &'a str,
    others: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let mut followers: Vec<&str> = others.into_iter().chain([own_name]).collect();
    followers.sort_by_key(|name| Reverse(rendezvous_weight("store", name)));
    followers.truncate(followers.len().div_ceil(VMS_PER_FOLLOWER));
    if followers.contains(&own_name) {
        return None;
    }
    followers
        .into_iter()
        .max_by_key(|name| rendezvous_weight(own_name, name))
}
