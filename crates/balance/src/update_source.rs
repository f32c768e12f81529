//! Selects the VMs of a zone that watch the store and the VM from which each other VM receives
//! updates.

use {crate::rendezvous_weight, std::cmp::Reverse};

/// Number of VMs per watcher of the store, the watcher included.
const VMS_PER_WATCHER: usize = 30;

/// Returns the VM from which this VM receives updates, or `None` if it watches the store itself.
///
/// `others` are the live VMs of the zone without this one. All VMs that see the same members
/// select the same watchers.
#[must_use]
pub fn select_update_source<'a>(
    own_name: &'a str,
    others: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let mut watchers: Vec<&str> = others.into_iter().chain([own_name]).collect();
    watchers.sort_by_key(|name| Reverse(rendezvous_weight("store", name)));
    watchers.truncate(watchers.len().div_ceil(VMS_PER_WATCHER));
    if watchers.contains(&own_name) {
        return None;
    }
    watchers
        .into_iter()
        .max_by_key(|name| rendezvous_weight(own_name, name))
}
