//! Hears changes from the VM of this zone that follows the store.
//!
//! One VM of each zone follows the store, or one for each thirty, so that its calls hardly
//! grow with the VMs. The others wait for rows at one of them. A VM whose source fails, or says that
//! it does not hear the store itself, follows the store for a while on its own.

use {
    super::pull::{pull, take},
    crate::Node,
    std::{rc::Rc, time::Duration},
    wire::Member,
};

/// Longest wait for rows in one call; it bounds how long a source that says nothing is trusted.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(1);
/// On top of that wait.
const MARGIN: Duration = Duration::from_millis(400);
/// Time for which a VM follows the store after its source failed.
const ON_ITS_OWN: Duration = Duration::from_secs(3);
const STAND_BY: Duration = Duration::from_millis(50);

/// Waits for rows at the zone's source until the process ends.
pub(crate) async fn poll_source(node: Rc<Node>) {
    loop {
        let Some(source) = source(&node).filter(|_| !watches_store(&node)) else {
            tokio::time::sleep(STAND_BY).await;
            continue;
        };
        let after = node.replica().min_complete_version(&node.store.tables);
        let failed = match pull(&node, &source, after, MAX_WAIT, MARGIN).await {
            Ok(batch) => {
                if batch.well {
                    node.record_source_success();
                }
                take(&node, &batch);
                (!batch.well).then(|| "source does not hear the store".to_owned())
            }
            Err(error) => Some(error.to_string()),
        };
        if let Some(reason) = failed {
            log::warn!(event = "source_lost", vm = source.name.as_str(), reason = reason.as_str(); "following the store itself for a while");
            node.bypass_source_until(node.now() + ON_ITS_OWN);
        }
    }
}

/// Whether it falls to this VM to follow the store.
pub(crate) fn watches_store(node: &Node) -> bool {
    node.is_bypassing_source() || source(node).is_none()
}

/// The VM of this zone from which this one hears of changes, unless it follows the store.
fn source(node: &Node) -> Option<Member> {
    let view = node.member_view();
    let mut near = view.peers();
    near.retain(|member| member.zone == node.settings.zone && view.is_alive(&member.name));
    let names = near.iter().map(|member| member.name.as_str());
    let source = balance::select_update_source(&node.settings.name, names)?;
    near.into_iter().find(|m| m.name == source).cloned()
}
