//! Registers this VM in the store and discovers the other VMs from their registrations.

use {
    crate::{Node, Registration, StoreError, peers},
    std::{rc::Rc, time::Duration},
};

/// Delay before a failed registration is retried.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Interval at which registrations are listed while no other VM is alive or suspect.
const ALONE_LIST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which registrations are listed otherwise.
const LIST_INTERVAL: Duration = Duration::from_mins(1);

/// Registers this VM, then lists the registrations periodically until the process ends.
pub(crate) async fn maintain_registration(node: Rc<Node>) {
    while let Err(error) = register_vm(&node).await {
        log::warn!(event = "register_failed", reason:% = error; "this VM could not be registered; retrying");
        tokio::time::sleep(RETRY_DELAY).await;
    }
    log::info!(event = "registered", vm = node.settings.name.as_str(); "this VM is registered in the store");
    loop {
        let is_alone = node.member_view().serving_members().len() < 2;
        tokio::time::sleep(if is_alone {
            ALONE_LIST_INTERVAL
        } else {
            LIST_INTERVAL
        })
        .await;
        match (node.store.list_vms)().await {
            Ok(registrations) => {
                add_new_vms(&node, &registrations);
                restore_registration(&node, &registrations).await;
            }
            Err(error) => {
                log::warn!(event = "list_failed", reason:% = error; "registered VMs could not be listed; new VMs are not discovered");
            }
        }
    }
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

/// Registers this VM again if its row is gone. An earlier incarnation may have unregistered
/// without receiving the response, and the removal may have taken effect late.
async fn restore_registration(node: &Rc<Node>, registrations: &[Registration]) {
    let own = node.registration();
    if registrations.contains(&own) || node.leaving_since().is_some() {
        return;
    }
    if let Err(error) = (node.store.register_vm)(own).await {
        log::warn!(event = "register_failed", reason:% = error; "this VM could not be registered again; the next listing retries it");
    }
}

/// Removes the registration of this VM during its shutdown. It registers again when it restarts.
pub(crate) async fn unregister_vm(node: Rc<Node>) {
    if let Err(error) = (node.store.unregister_vm)(node.registration()).await {
        log::warn!(event = "unregister_failed", reason:% = error; "this VM could not be unregistered; its registration remains in the store");
    }
}

/// Adds registered VMs that are not known yet and pings them.
fn add_new_vms(node: &Rc<Node>, registrations: &[Registration]) {
    for vm in registrations {
        if vm.name != node.settings.name && !node.member_view().contains(&vm.name) {
            node.add_registered_vm(vm);
            peers::send_ping(node, vm.peer_address);
        }
    }
}
