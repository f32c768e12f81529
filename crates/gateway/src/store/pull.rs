//! Pulls rows from another VM when this one is behind or cannot reach the store.

use {
    super::apply_records,
    crate::{
        Clock, Node, StoreError,
        http_client::ClientRequest,
        node::Cause,
        peers::{ENCODING_PARAMETER, STORE_AGE_MS_HEADER, StoreNews, restore_body},
    },
    catalog::MAX_BATCH_CHANGES,
    hyper::HeaderMap,
    rand::Rng,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    wire::{Batch, Member, Revision, Status},
};

/// Interval between checks whether this VM is behind.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
const PULL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time that the usual source has to deliver rows that another VM already has.
const SOURCE_GRACE: Duration = Duration::from_millis(250);
/// Number of batches that are pulled from a peer in a row, as each holds a part of many changes.
const MAX_BATCHES: usize = 16;
/// Interval between pulls while the store is unreachable and no peer is known to be ahead.
const OUTAGE_PULL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between questions whether the configuration is still the newest.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// Rows from another VM.
pub(super) struct PeerBatch {
    pub(super) batch: Batch,
    /// Time since the store last responded to that VM, or `None` if it never did or does not say.
    pub(super) store_age: Option<Duration>,
    /// What that VM knows of the store's clock.
    pub(super) news: StoreNews,
    /// Time of [`Clock::boot_time`] before that VM was asked.
    pub(super) asked_at: Duration,
}

/// What is requested from another VM.
#[derive(Debug, Clone, Copy)]
pub(super) struct RowsRequest<'a> {
    /// Name of the table, or `None` for all tables.
    pub(super) table: Option<&'a str>,
    /// Revision after which the rows have changed.
    pub(super) after: Revision,
    /// Time by which the other VM may delay its response without newer rows.
    pub(super) wait: Duration,
    /// Time after which the call has failed, the wait included.
    pub(super) timeout: Duration,
}

/// Pulls rows from a peer that is ahead, or from any peer while the store is unreachable, until
/// the process ends.
pub(crate) async fn pull_missing_rows(node: Rc<Node>) {
    let mut behind_since: Option<Duration> = None;
    let mut last_pull_at = Duration::ZERO;
    let mut last_confirmed_at = Duration::ZERO;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = node.now();
        let newest = node.replica().newest_revision();
        let is_behind = node
            .member_view()
            .serving_members()
            .iter()
            .any(|m| m.control > newest);
        behind_since = is_behind.then(|| behind_since.unwrap_or(now));
        let is_source_late =
            behind_since.is_some_and(|since| now.saturating_sub(since) >= SOURCE_GRACE);
        let is_outage_pull_due =
            !node.is_store_available() && now.saturating_sub(last_pull_at) >= OUTAGE_PULL_INTERVAL;
        if is_source_late || is_outage_pull_due {
            last_pull_at = now;
            pull_from_peer(&node, newest).await;
        }
        confirm_configuration(&node, &mut last_confirmed_at).await;
    }
}

/// Asks a VM of any zone whether the configuration is still the newest, if that was last confirmed
/// long ago: the store may serve some zones only.
async fn confirm_configuration(node: &Rc<Node>, last_at: &mut Duration) {
    let age = node.configuration_age();
    metrics::gauge!("cicadalift_configuration_age_seconds")
        .set(age.map_or(f64::INFINITY, |age| age.as_secs_f64()));
    let is_due = node.now().saturating_sub(*last_at) >= CONFIRM_INTERVAL;
    if !is_due || !node.is_configuration_aging() {
        return;
    }
    *last_at = node.now();
    let Some(peer) = choose_any_peer(node) else {
        return;
    };
    let tables = [node.store.configuration_table.clone()];
    let request = RowsRequest {
        table: Some(&tables[0]),
        after: node.complete_revision(),
        wait: Duration::ZERO,
        timeout: CONFIRM_TIMEOUT,
    };
    let Ok(response) = fetch_batch(node, &peer, request).await else {
        return;
    };
    apply_batch(node, &response.batch, &tables, &peer.name);
    node.record_store_news(&response.news, response.asked_at);
}

/// Chooses a live peer of any zone at random.
fn choose_any_peer(node: &Rc<Node>) -> Option<Member> {
    let view = node.member_view();
    let peers = view.peers();
    let alive = peers.into_iter().filter(|m| m.status == Status::Alive);
    let mut rng = rand::rng();
    alive.min_by_key(|_| rng.random::<u32>()).cloned()
}

/// Pulls the rows that one peer has and this VM lacks, and applies them; does nothing if no peer is
/// alive.
async fn pull_from_peer(node: &Rc<Node>, newest: Revision) {
    let Some(peer) = choose_peer(node, newest) else {
        return;
    };
    for _ in 0..MAX_BATCHES {
        match pull_batch(node, &peer).await {
            Ok(is_last) if is_last => return,
            Ok(_) => {}
            Err(error) => {
                log::warn!(event = "pull_failed", vm = peer.name.as_str(), reason:% = error; "rows could not be pulled from another VM");
                return;
            }
        }
    }
}

/// Pulls one batch from a peer and applies it. Returns whether it is the last one.
async fn pull_batch(node: &Rc<Node>, peer: &Member) -> Result<bool, StoreError> {
    let after = node.complete_revision();
    let request = RowsRequest {
        table: None,
        after,
        wait: Duration::ZERO,
        timeout: PULL_TIMEOUT,
    };
    let response = fetch_batch(node, peer, request).await?;
    let batch = &response.batch;
    apply_batch(node, batch, &node.store.tables, &peer.name);
    node.record_store_news(&response.news, response.asked_at);
    log::info!(event = "pulled", vm = peer.name.as_str(), after:% = after, version:% = batch.revision, rows = batch.records.len(); "rows pulled from another VM");
    Ok(batch.whole || batch.records.len() < MAX_BATCH_CHANGES)
}

/// Applies a batch of the given tables from another VM, unless it is of an older era. Known rows
/// that are missing from a full snapshot have been deleted.
pub(super) fn apply_batch(node: &Rc<Node>, batch: &Batch, tables: &[String], peer: &str) {
    let (era, known) = (batch.revision.era(), node.replica().era());
    let is_newer_era = era > known;
    if batch.revision.version() == 0 || era < known || (is_newer_era && !batch.whole) {
        return;
    }
    if is_newer_era {
        node.accept_era_of_peer(era, peer);
    }
    let after_outage = !batch.settled && !node.is_store_settled();
    apply_records(node, &batch.records, after_outage, peer);
    for table in tables {
        if batch.whole {
            let deletions = node
                .replica()
                .infer_deletions(table, &batch.records, batch.revision);
            apply_records(node, &deletions, after_outage, peer);
        }
        node.mark_table_complete(table, batch.revision);
    }
}

/// Chooses the live peer to pull from: one that is ahead if possible, then one of this VM's zone,
/// then one of its region, at random among equals.
fn choose_peer(node: &Rc<Node>, newest: Revision) -> Option<Member> {
    let view = node.member_view();
    let peers = view.peers();
    let alive = peers.into_iter().filter(|m| m.status == Status::Alive);
    let distance = |zone: &str| {
        let is_other_region = node.settings.region_of(zone) != node.settings.region;
        (zone != node.settings.zone, is_other_region)
    };
    let mut rng = rand::rng();
    alive
        .min_by_key(|m| (m.control <= newest, distance(&m.zone), rng.random::<u32>()))
        .cloned()
}

/// Requests the rows that changed after a revision from a peer.
///
/// # Errors
/// A [`StoreError`] when the peer does not respond in time, rejects the request or sends a batch
/// that cannot be decoded.
pub(super) async fn fetch_batch(
    node: &Rc<Node>,
    peer: &Member,
    request: RowsRequest<'_>,
) -> Result<PeerBatch, StoreError> {
    let malformed = |error: &dyn std::fmt::Display| StoreError::Malformed(error.to_string());
    let address: SocketAddr = peer.peer.parse().map_err(|e| malformed(&e))?;
    let (after, wait_ms) = (request.after, request.wait.as_millis());
    let table = request.table.map(|table| format!("&table={table}"));
    let table = table.unwrap_or_default();
    let path = format!("/records?after={after}&wait_ms={wait_ms}{table}&{ENCODING_PARAMETER}");
    let call = ClientRequest::get(address, &path, request.timeout);
    let asked_at = Clock::boot_time();
    let response = node.client.execute(call).await?;
    node.record_traffic(Cause::Rows, address, path.len() + response.length());
    if response.status != 200 {
        return Err(StoreError::Rejected(response.status));
    }
    let store_age = parse_store_age(&response.headers);
    let news = StoreNews::parse(&response.headers);
    let body = restore_body(response).map_err(|e| malformed(&e))?;
    Ok(PeerBatch {
        batch: wire::decode(&body).map_err(|e| malformed(&e))?,
        store_age,
        news,
        asked_at,
    })
}

fn parse_store_age(headers: &HeaderMap) -> Option<Duration> {
    let age_ms = headers.get(STORE_AGE_MS_HEADER)?.to_str().ok()?;
    age_ms.parse().ok().map(Duration::from_millis)
}
