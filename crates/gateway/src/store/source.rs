//! Receives rows from the VM of the zone that watches the store, the update source.
//!
//! Which VMs watch the store is decided by [`Sources`]. Every other VM long-polls one of them for
//! rows. See `docs/PLATFORM.md`, section "Truths and their order".

use {
    super::pull::{PeerBatch, RowsRequest, apply_batch, fetch_batch},
    crate::{Node, StoreError},
    balance::updates::{Loss, Role, Sources},
    catalog::WatchTimeouts,
    std::{rc::Rc, time::Duration},
    wire::Member,
};

/// Interval between checks while this VM has no source to poll.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time after the start of the process in which VMs that start together discover each other. Until
/// then a VM reads each table but does not watch it.
const DISCOVERY_TIME: Duration = Duration::from_secs(1);

/// Long-polls the update source for rows of a table until the process ends, whenever this VM has a
/// source.
pub(crate) async fn poll_source(node: Rc<Node>, table: String) {
    let tables = [table];
    loop {
        let Some(source) = update_source(&node) else {
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        };
        let after = node.replica().complete_revision(&tables);
        let timeouts = WatchTimeouts::new(node.bounds().update_time());
        let request = RowsRequest {
            table: Some(&tables[0]),
            after: after.unwrap_or(node.replica().era_start()),
            wait: timeouts.wait(),
            timeout: timeouts.timeout(),
        };
        match fetch_batch(&node, &source, request).await {
            Ok(response) => apply_response(&node, &source, &tables, &response),
            Err(error) => lose_source(&node, &source, Loss::Unreachable, &error.to_string()),
        }
    }
}

/// Applies the rows that a source sent, and records whether it has them from the store.
fn apply_response(node: &Rc<Node>, source: &Member, tables: &[String], response: &PeerBatch) {
    let batch = &response.batch;
    if batch.revision.era() < node.replica().era() {
        let reason = "source has not noticed that the store was restored from a snapshot";
        lose_source(node, source, Loss::Uninformed, reason);
        return;
    }
    if batch.well {
        node.record_source_success(response.store_age);
        node.update_sources
            .borrow_mut()
            .record_success(&source.name);
    }
    apply_batch(node, batch, tables, &source.name);
    node.record_store_news(&response.news, response.asked_at);
    if batch.well {
        return;
    }
    if is_store_away(node, response.store_age) {
        let error = StoreError::NoResponse(format!("{} does not reach it", source.name));
        node.record_store_failure(&tables[0], &error);
    }
    lose_source(
        node,
        source,
        Loss::Uninformed,
        "source does not watch the store, or cannot reach it",
    );
}

/// Returns whether a source that does not watch the store has not heard of it for longer than a
/// watcher or its followers do.
fn is_store_away(node: &Node, store_age: Option<Duration>) -> bool {
    let timeout = WatchTimeouts::new(node.bounds().update_time()).timeout();
    store_age.is_none_or(|age| age > timeout)
}

fn lose_source(node: &Node, source: &Member, loss: Loss, reason: &str) {
    log::warn!(event = "source_lost", vm = source.name.as_str(), reason = reason; "update source failed; another VM takes its place for a while");
    let mut sources = node.update_sources.borrow_mut();
    sources.record_loss(&source.name, loss, node.now());
}

/// Returns whether this VM watches the store itself.
pub(crate) fn watches_store(node: &Node) -> bool {
    let now = node.now();
    now >= DISCOVERY_TIME && current_sources(node).role(now) == Role::Watcher
}

/// Returns the VM of this zone from which this one receives rows, or `None` if it has none.
fn update_source(node: &Node) -> Option<Member> {
    let sources = current_sources(node);
    let Role::Follower(source) = sources.role(node.now()) else {
        return None;
    };
    let view = node.member_view();
    let member = view.peers().into_iter().find(|m| m.name == source);
    member.cloned()
}

/// Borrows the possible sources for the current generation of the member view.
fn current_sources(node: &Node) -> std::cell::RefMut<'_, Sources> {
    let mut sources = node.update_sources.borrow_mut();
    let view = node.member_view();
    if node.sources_generation.get() != Some(view.generation()) {
        node.sources_generation.set(Some(view.generation()));
        let mut peers = view.peers();
        peers.retain(|m| m.zone == node.settings.zone && view.is_alive(&m.name));
        let names = peers.iter().map(|member| member.name.as_str());
        sources.set_vms(&node.settings.name, names);
    }
    sources
}
