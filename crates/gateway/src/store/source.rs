//! Receives rows from the VM of the zone that watches the store, the update source.
//!
//! In each zone only one VM in thirty watches the store, at least one, so that the load on the
//! store hardly grows with the number of VMs. Every other VM long-polls one of them for rows. If
//! its source fails or cannot reach the store, a VM watches the store itself for a while.

use {
    super::pull::{PeerBatch, RowsRequest, apply_batch, fetch_batch},
    crate::Node,
    catalog::WatchTimeouts,
    std::{rc::Rc, time::Duration},
    wire::Member,
};

/// Time for which a VM watches the store itself after its source failed.
const BYPASS_TIME: Duration = Duration::from_secs(3);
/// Interval between checks while this VM has no source to poll.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Long-polls the update source for rows of a table until the process ends, whenever this VM has a
/// source.
pub(crate) async fn poll_source(node: Rc<Node>, table: String) {
    let tables = [table];
    loop {
        let Some(source) = update_source(&node).filter(|_| !watches_store(&node)) else {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        };
        let after = node.replica().complete_revision(&tables);
        let timeouts = WatchTimeouts::new(node.bounds().change_time);
        let request = RowsRequest {
            table: Some(&tables[0]),
            after: after.unwrap_or(node.replica().era_start()),
            wait: timeouts.wait(),
            timeout: timeouts.timeout(),
        };
        let failure = match fetch_batch(&node, &source, request).await {
            Ok(PeerBatch { batch, .. }) if batch.revision.era() < node.replica().era() => Some(
                "source has not noticed that the store was restored from a snapshot".to_owned(),
            ),
            Ok(PeerBatch { batch, store_age }) => {
                if batch.well {
                    node.record_source_success(store_age);
                }
                apply_batch(&node, &batch, &tables, &source.name);
                (!batch.well).then(|| "source cannot reach the store".to_owned())
            }
            Err(error) => Some(error.to_string()),
        };
        if let Some(reason) = failure {
            log::warn!(event = "source_lost", vm = source.name.as_str(), reason = reason.as_str(); "update source failed; watching the store directly for a while");
            node.bypass_source_until(node.now() + BYPASS_TIME);
        }
    }
}

/// Returns whether this VM watches the store itself: it has no update source, or its source
/// failed recently.
pub(crate) fn watches_store(node: &Node) -> bool {
    node.is_bypassing_source() || update_source(node).is_none()
}

/// Returns the VM of this zone from which this one receives rows, or `None` if this VM is one of
/// those that watch the store.
fn update_source(node: &Node) -> Option<Member> {
    let view = node.member_view();
    let mut zone_peers = view.peers();
    zone_peers.retain(|member| member.zone == node.settings.zone && view.is_alive(&member.name));
    let names = zone_peers.iter().map(|member| member.name.as_str());
    let source = balance::select_update_source(&node.settings.name, names)?;
    zone_peers.into_iter().find(|m| m.name == source).cloned()
}
