//! Makes this VM known to the others, and the others to this VM.

use {
    crate::{Node, Registration, StoreError, peers},
    std::{rc::Rc, time::Duration},
};

const PAUSE: Duration = Duration::from_millis(400);
/// Pause between two looks at the list while no other VM is heard, and otherwise.
const ALONE_PAUSE: Duration = Duration::from_secs(2);
const USUAL_PAUSE: Duration = Duration::from_mins(1);

/// Registers this VM, then looks at the list of VMs from time to time.
pub(crate) async fn maintain_registration(node: Rc<Node>) {
    while let Err(error) = enter(&node).await {
        log::warn!(event = "register_failed", reason:% = error; "this VM is not registered yet");
        tokio::time::sleep(PAUSE).await;
    }
    log::info!(event = "registered", vm = node.settings.name.as_str(); "registered");
    loop {
        let alone = node.member_view().serving().len() < 2;
        tokio::time::sleep(if alone { ALONE_PAUSE } else { USUAL_PAUSE }).await;
        match (node.store.list_vms)().await {
            Ok(listed) => {
                introduce(&node, &listed);
                stay_registered(&node, &listed).await;
            }
            Err(error) => {
                log::warn!(event = "list_failed", reason:% = error; "the list of VMs is not to be had");
            }
        }
    }
}

/// Registers this VM unless a former incarnation did so, and reads who else is there.
///
/// Of two VMs that start together the one that registers last reads the other's row, as it
/// reads once more after its own is written.
async fn enter(node: &Rc<Node>) -> Result<(), StoreError> {
    let own = node.registration();
    let before = (node.store.list_vms)().await?;
    introduce(node, &before);
    if before.contains(&own) {
        return Ok(());
    }
    (node.store.register_vm)(own).await?;
    let after = (node.store.list_vms)().await?;
    introduce(node, &after);
    Ok(())
}

/// Writes the own row again if it is gone: a removal by a former incarnation whose answer
/// was lost may have taken effect late.
async fn stay_registered(node: &Rc<Node>, listed: &[Registration]) {
    let own = node.registration();
    if listed.contains(&own) || node.leaving_since().is_some() {
        return;
    }
    if let Err(error) = (node.store.register_vm)(own).await {
        log::warn!(event = "register_failed", reason:% = error; "this VM is not registered");
    }
}

/// Removes this VM from the list; one that starts again enters itself.
pub(crate) async fn unregister_vm(node: Rc<Node>) {
    if let Err(error) = (node.store.unregister_vm)(node.registration()).await {
        log::warn!(event = "unregister_failed", reason:% = error; "this VM stays on the list");
    }
}

fn introduce(node: &Rc<Node>, listed: &[Registration]) {
    for vm in listed {
        if vm.name != node.settings.name && !node.member_view().contains(&vm.name) {
            node.add_registered_vm(vm);
            peers::send_ping(node, vm.peers);
        }
    }
}
