//! What goes into a gossip message, and what comes out of one.

use {
    super::calls,
    crate::{
        node::{Node, Request, State},
        run::Context,
        upstream::Clients,
    },
    futures_util::future::join_all,
    ports::VmInfo,
    std::{sync::Arc, time::Duration},
    wire::{Gossip, Member, Poison, Pool, Status},
};

const MAX_MEMBERS: usize = 12;
const MAX_POOLS: usize = 8;
const MAX_POISONS: usize = 4;
/// Bound on telling all others about a crash before the request goes on.
const CRASH_BROADCAST_TIMEOUT: Duration = Duration::from_millis(200);

/// News for a peer. A peer that is not known yet gets every record.
pub(crate) fn compose(node: &Node, newcomer: bool) -> Gossip {
    let now = node.now();
    let wall = node.clock.unix_ms();
    let mut state = node.state();
    let members = if newcomer {
        state.view.members().into_iter().skip(1).cloned().collect()
    } else {
        state.view.take_updates(MAX_MEMBERS)
    };
    Gossip {
        from: state.view.local_member().clone(),
        members,
        pools: state.reports.take_updates(MAX_POOLS),
        poisons: poisons(&state, now, wall),
    }
}

/// Takes a peer's news. Returns whether the peer has a newer control document.
pub(crate) fn absorb(node: &Node, news: &Gossip) -> bool {
    let now = node.now();
    let wall = node.clock.unix_ms();
    let mut state = node.state();
    state.view.record_contact(&news.from, now);
    state.view.merge(&news.members, now);
    for report in &news.pools {
        state.reports.accept(report, now);
    }
    for poison in &news.poisons {
        let left = Duration::from_millis(poison.expires_ms.saturating_sub(wall));
        state
            .quarantine
            .merge(&poison.fingerprint, poison.count, left, now);
    }
    news.from.control > state.replica.version()
}

/// Gives and takes news with one peer, and fetches its document if it is newer.
pub(crate) async fn exchange(
    node: &Arc<Node>,
    clients: &Clients,
    address: &str,
    newcomer: bool,
) -> bool {
    let news = compose(node, newcomer);
    let Ok(answer) = calls::gossip(clients, address, &news).await else {
        return false;
    };
    if absorb(node, &answer) {
        fetch_document(node, clients, address).await;
    } else {
        offer_document(node, clients, &answer.from).await;
    }
    true
}

/// Reads a peer's document and puts it in force if it is newer.
pub(crate) async fn fetch_document(node: &Arc<Node>, clients: &Clients, address: &str) {
    if let Ok(Some(document)) = calls::pull_document(clients, address).await {
        let now = node.now();
        if node.state().adopt_document(&document, now) {
            log::info!(event = "control_adopted", version = document.version, source = "peer"; "control document in force");
        }
    }
}

async fn offer_document(node: &Arc<Node>, clients: &Clients, peer: &Member) {
    let document = node.state().replica.current().cloned();
    let Some(document) = document.filter(|document| document.version > peer.control) else {
        return;
    };
    let address = node.peer_address(&peer.name, &peer.peer);
    let _ = calls::push_document(clients, &address, &document).await;
}

/// Sends news to every known peer at once.
pub(crate) async fn broadcast_gossip(node: &Arc<Node>, clients: &Clients) {
    let peers: Vec<String> = {
        let state = node.state();
        let peers = state.view.peers();
        peers
            .into_iter()
            .map(|member| node.peer_address(&member.name, &member.peer))
            .collect()
    };
    let calls = peers
        .iter()
        .map(|address| exchange(node, clients, address, false));
    join_all(calls).await;
}

/// Counts a crash-like end, and tells all others before the request goes on.
/// Returns the time for which the request is refused from now on.
pub(crate) async fn report_crash(context: &Context, request: &Request) -> Option<Duration> {
    let node = &context.node;
    let now = node.now();
    let count = node
        .state()
        .quarantine
        .record_crash(&request.fingerprint, now);
    log::warn!(event = "crash_noted", request = request.id.as_str(), count = count; "request ended like a crash of its target");
    let broadcast = broadcast_gossip(node, &context.clients);
    let _ = actix_web::rt::time::timeout(CRASH_BROADCAST_TIMEOUT, broadcast).await;
    let now = node.now();
    node.state()
        .quarantine
        .blocked_for(&request.fingerprint, now)
}

/// Adds a VM of the platform's list or of the settings to the view.
pub(crate) fn add_peer(node: &Node, listed: &VmInfo) {
    let now = node.now();
    let member = Member {
        name: listed.name.clone(),
        zone: listed.zone.clone(),
        peer: listed.peer.clone(),
        caller: String::new(),
        boot_ms: 0,
        beat: 0,
        status: Status::Gone,
        control: 0,
    };
    node.state().view.add_unknown(&member, now);
}

/// Reports the load of the pools that this VM owns.
pub(crate) fn report_pools(state: &mut State, now: Duration) {
    state.report_sequence += 1;
    let me = state.view.local_member().name.clone();
    let beat = state.report_sequence;
    let mine = state
        .pools
        .iter()
        .filter(|(_, owned)| owned.is_admitting(now));
    let reports: Vec<Pool> = mine
        .map(|(key, owned)| {
            let snapshot = owned.pool.snapshot(now);
            Pool {
                service: key.service.clone(),
                site: key.site.clone(),
                owner: me.clone(),
                beat,
                free: snapshot.free_slots,
                queued: snapshot.queued,
                wait_ms: u32::try_from(snapshot.expected_wait.as_millis()).unwrap_or(u32::MAX),
            }
        })
        .collect();
    for report in &reports {
        state.reports.accept(report, now);
    }
}

fn poisons(state: &State, now: Duration, wall: u64) -> Vec<Poison> {
    let records = state.quarantine.records(now).into_iter().take(MAX_POISONS);
    let poison = |(fingerprint, count, left): (&str, u32, Duration)| Poison {
        fingerprint: fingerprint.to_owned(),
        count,
        expires_ms: wall + u64::try_from(left.as_millis()).unwrap_or(0),
    };
    records.map(poison).collect()
}
