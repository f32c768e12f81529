//! Selects the VMs that share a target's rate, the same on every VM that knows the same members.

use {crate::rendezvous_weight, std::cmp::Reverse};

/// Selects the `count` VMs that may send requests to a target whose rate is limited.
///
/// `vms` are pairs of VM name and availability zone. VMs in the target's zone come first, then
/// the order is by rendezvous weight.
#[must_use]
pub fn select_senders<'a>(
    target: &str,
    zone: &str,
    vms: impl IntoIterator<Item = (&'a str, &'a str)>,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked: Vec<(&str, &str)> = vms.into_iter().collect();
    ranked.sort_by_key(|(name, vm_zone)| {
        (*vm_zone != zone, Reverse(rendezvous_weight(target, name)))
    });
    ranked.truncate(count);
    ranked.into_iter().map(|(name, _)| name).collect()
}
