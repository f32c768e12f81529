//! Registers this VM in the store and discovers the other VMs from their registrations.

use {
    crate::{Node, Registration, StoreError, peers},
    member::choose_first_contacts,
    rand::Rng,
    std::{rc::Rc, time::Duration},
    wire::{Member, Revision, Status},
};

/// Delay before a failed registration is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Longest delay before this VM registers again after the store was restored from a snapshot.
const MAX_RESTORE_DELAY: Duration = Duration::from_secs(2);
/// Interval at which registrations are listed while no other VM is alive or suspect, or while the
/// last listing failed.
const ALONE_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which registrations are listed otherwise.
const LIST_INTERVAL: Duration = Duration::from_mins(1);

/// Registers this VM, then lists the registrations periodically, and soon after the store was
/// restored from a snapshot, until the process ends.
pub(crate) async fn maintain_registration(node: Rc<Node>) {
    let mut eras = node.subscribe_eras();
    while let Err(error) = register_vm(&node).await {
        log::warn!(event = "register_failed", reason:% = error; "this VM could not be registered; retrying");
        tokio::time::sleep(RETRY_DELAY).await;
    }
    node.record_registration();
    log::info!(event = "registered", vm = node.settings.name.as_str(); "this VM is registered in the store");
    let mut is_failing = false;
    loop {
        let is_alone = node.member_view().serving_members().len() < 2;
        let interval = if is_alone || is_failing {
            ALONE_LIST_INTERVAL
        } else {
            LIST_INTERVAL
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            // All VMs notice it at about the same time.
            _ = eras.changed() => tokio::time::sleep(random_delay(MAX_RESTORE_DELAY)).await,
        }
        let restored = refresh_registrations(&node).await;
        is_failing = restored.is_err();
        if let Err(error) = restored {
            log::warn!(event = "list_failed", reason:% = error; "registered VMs could not be listed, or this VM not be registered again; retrying");
        }
    }
}

/// Adds the VMs that are registered, and registers this VM again if its row is gone.
async fn refresh_registrations(node: &Rc<Node>) -> Result<(), StoreError> {
    let registrations = (node.store.list_vms)().await?;
    add_new_vms(node, &registrations);
    restore_registration(node, &registrations).await
}

fn random_delay(max: Duration) -> Duration {
    max.mul_f64(rand::rng().random())
}

/// Registers this VM unless an earlier incarnation did so, and adds the VMs that are registered.
///
/// The list is read again after the registration. Of two VMs that start together, the one that
/// registers last thus finds the registration of the other.
async fn register_vm(node: &Rc<Node>) -> Result<(), StoreError> {
    let own = node.registration();
    let before = (node.store.list_vms)().await?;
    add_new_vms(node, &before);
    if before.contains(&own) {
        return Ok(());
    }
    (node.store.register_vm)(own).await?;
    let after = (node.store.list_vms)().await?;
    add_new_vms(node, &after);
    Ok(())
}

/// Registers this VM again if its row is gone: the store may have been restored from a snapshot,
/// or an earlier incarnation may have unregistered without receiving the response, and the removal
/// may have taken effect late.
async fn restore_registration(
    node: &Rc<Node>,
    registrations: &[Registration],
) -> Result<(), StoreError> {
    let own = node.registration();
    if registrations.contains(&own) || node.leaving_since().is_some() {
        return Ok(());
    }
    (node.store.register_vm)(own).await?;
    log::info!(event = "registered", vm = node.settings.name.as_str(); "this VM is registered in the store again");
    Ok(())
}

/// Removes the registration of this VM during its shutdown. It registers again when it restarts.
pub(crate) async fn unregister_vm(node: Rc<Node>) {
    if let Err(error) = (node.store.unregister_vm)(node.registration()).await {
        log::warn!(event = "unregister_failed", reason:% = error; "this VM could not be unregistered; its registration remains in the store");
    }
}

/// Adds registered VMs that are not known yet, and pings some of them.
fn add_new_vms(node: &Rc<Node>, registrations: &[Registration]) {
    let is_new = |vm: &&Registration| {
        vm.name != node.settings.name && !node.member_view().contains(&vm.name)
    };
    let discovered = registrations.iter().filter(is_new);
    let discovered: Vec<Member> = discovered.map(registered_member).collect();
    for member in &discovered {
        node.member_view().add_unknown(member, node.now());
    }
    let contacts = choose_first_contacts(&node.settings.zone, &discovered, &mut rand::rng());
    for address in contacts.into_iter().filter_map(peers::peer_address) {
        peers::send_ping(node, address);
    }
}

/// Returns the membership record of a VM from the list of registrations. It is suspected until a
/// message from it arrives, since the list may be out of date.
fn registered_member(vm: &Registration) -> Member {
    Member {
        name: vm.name.clone(),
        zone: vm.zone.clone(),
        peer: vm.peer_address.to_string(),
        caller: vm.caller_address.to_string(),
        boot_ms: 0,
        beat: 0,
        status: Status::Suspect,
        control: Revision::default(),
    }
}
