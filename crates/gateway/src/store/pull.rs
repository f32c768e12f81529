//! Asks another VM for the rows that this one misses.

use {
    super::apply,
    crate::{Node, StoreError, http_client::ClientRequest},
    rand::Rng,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    wire::{Batch, Member, Status},
};

const PERIOD: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_millis(700);
/// Time that the usual source is given to bring what another VM already has.
const PATIENCE: Duration = Duration::from_millis(250);
/// Pause between two pulls while the store does not answer and no peer is known to be ahead.
const BLIND_PERIOD: Duration = Duration::from_secs(1);

/// Pulls from a peer that is ahead, or from any while the store does not answer.
pub(crate) async fn pull_missing_rows(node: Rc<Node>) {
    let mut behind_since: Option<Duration> = None;
    let mut pulled_at = Duration::ZERO;
    loop {
        tokio::time::sleep(PERIOD).await;
        let now = node.now();
        let newest = node.replica().newest_version();
        let ahead = node
            .member_view()
            .serving()
            .iter()
            .any(|m| m.control > newest);
        behind_since = ahead.then(|| behind_since.unwrap_or(now));
        let waited = behind_since.is_some_and(|since| now.saturating_sub(since) >= PATIENCE);
        let blind = !node.is_store_available() && now.saturating_sub(pulled_at) >= BLIND_PERIOD;
        if waited || blind {
            pulled_at = now;
            pull_once(&node, newest).await;
        }
    }
}

async fn pull_once(node: &Rc<Node>, newest: u64) {
    let Some(peer) = choose_peer(node, newest) else {
        return;
    };
    let after = node.replica().min_complete_version(&node.store.tables);
    match pull(node, &peer, after, Duration::ZERO, TIMEOUT).await {
        Ok(batch) => {
            take(node, &batch);
            log::info!(event = "pulled", vm = peer.name.as_str(), after = after, version = batch.version, rows = batch.records.len(); "rows from another VM");
        }
        Err(error) => {
            log::warn!(event = "pull_failed", vm = peer.name.as_str(), reason:% = error; "no rows from another VM");
        }
    }
}

/// Puts a batch into effect; what a whole one does not show was deleted.
pub(super) fn take(node: &Rc<Node>, batch: &Batch) {
    if batch.version == 0 {
        return;
    }
    let lapsed = !batch.settled && !node.is_store_settled();
    apply(node, &batch.records, lapsed);
    for table in &node.store.tables {
        if batch.whole {
            let missing = node
                .replica()
                .infer_deletions(table, &batch.records, batch.version);
            apply(node, &missing, lapsed);
        }
        node.mark_table_complete(table, batch.version);
    }
}

/// A peer that is ahead, in this VM's zone or region if there is one.
fn choose_peer(node: &Rc<Node>, newest: u64) -> Option<Member> {
    let view = node.member_view();
    let peers = view.peers();
    let alive = peers.into_iter().filter(|m| m.status == Status::Alive);
    let place = |zone: &str| {
        let far = node.settings.region_of(zone) != node.settings.region;
        (zone != node.settings.zone, far)
    };
    let mut rng = rand::rng();
    alive
        .min_by_key(|m| (m.control <= newest, place(&m.zone), rng.random::<u32>()))
        .cloned()
}

/// Asks a peer for rows after a version; it may wait for some to come.
pub(super) async fn pull(
    node: &Rc<Node>,
    peer: &Member,
    after: u64,
    wait: Duration,
    margin: Duration,
) -> Result<Batch, StoreError> {
    let malformed = |error: &dyn std::fmt::Display| StoreError::Malformed(error.to_string());
    let address: SocketAddr = peer.peer.parse().map_err(|e| malformed(&e))?;
    let path = format!("/records?after={after}&wait_ms={}", wait.as_millis());
    let wanted = ClientRequest::get(address, &path, wait + margin);
    let answer = node.client.execute(wanted).await?;
    if answer.status != 200 {
        return Err(StoreError::Rejected(answer.status));
    }
    wire::decode(&answer.body).map_err(|e| malformed(&e))
}
