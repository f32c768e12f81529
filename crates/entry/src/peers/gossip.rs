//! Builds and merges gossip messages, and keeps the control document in step with peers.

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
    wire::{Gossip, Member, Poison, Pool, Revision, Status},
};

/// Member records in one message.
const MAX_MEMBERS: usize = 12;
/// Pool reports in one message.
const MAX_POOLS: usize = 8;
/// Crash counts in one message.
const MAX_POISONS: usize = 4;
/// Longest time for which a request waits until its crash has been reported to all peers.
const CRASH_BROADCAST_TIMEOUT: Duration = Duration::from_millis(200);

/// Builds the next gossip message for a peer. A peer that is new to this VM gets the
/// records of all members instead of the recently changed ones.
pub(crate) fn build_message(node: &Node, peer_is_new: bool) -> Gossip {
    let now = node.now();
    let unix_time_ms = node.clock.unix_time_ms();
    let mut state = node.state();
    let members = if peer_is_new {
        state.view.members().into_iter().skip(1).cloned().collect()
    } else {
        state.view.take_updates(MAX_MEMBERS)
    };
    Gossip {
        from: state.view.local_member().clone(),
        members,
        pools: state.reports.take_updates(MAX_POOLS),
        poisons: crash_counts(&state, now, unix_time_ms),
    }
}

/// Merges a peer's gossip message into the state. Returns whether the peer has a newer
/// control document.
pub(crate) fn merge_message(node: &Node, message: &Gossip) -> bool {
    let now = node.now();
    let unix_time_ms = node.clock.unix_time_ms();
    let mut state = node.state();
    state.view.record_contact(&message.from, now);
    state.view.merge(&message.members, now);
    for report in &message.pools {
        state.reports.accept(report, now);
    }
    for poison in &message.poisons {
        let remaining = Duration::from_millis(poison.expires_ms.saturating_sub(unix_time_ms));
        state
            .quarantine
            .merge(&poison.fingerprint, poison.count, remaining, now);
    }
    message.from.control > Revision::new(0, state.replica.version())
}

/// Exchanges gossip messages with a peer, then pulls or pushes the control document if
/// one side has a newer one. Returns whether the peer responded.
pub(crate) async fn exchange(
    node: &Arc<Node>,
    clients: &Clients,
    address: &str,
    peer_is_new: bool,
) -> bool {
    let message = build_message(node, peer_is_new);
    let Ok(response) = calls::gossip(clients, address, &message).await else {
        return false;
    };
    if merge_message(node, &response) {
        pull_document(node, clients, address).await;
    } else {
        push_newer_document(node, clients, &response.from).await;
    }
    true
}

/// Reads a peer's control document and puts it in force if it is newer.
pub(crate) async fn pull_document(node: &Arc<Node>, clients: &Clients, address: &str) {
    if let Ok(Some(document)) = calls::pull_document(clients, address).await {
        let now = node.now();
        if node.state().adopt_document(&document, now) {
            log::info!(event = "control_adopted", version = document.version, source = "peer"; "control document in force");
        }
    }
}

/// Sends the control document to a peer that has an older version. A failure is
/// ignored; the next exchange tries again.
async fn push_newer_document(node: &Arc<Node>, clients: &Clients, peer: &Member) {
    let document = node.state().replica.current().cloned();
    let Some(document) =
        document.filter(|document| Revision::new(0, document.version) > peer.control)
    else {
        return;
    };
    let address = node.peer_address(&peer.name, &peer.peer);
    let _ = calls::push_document(clients, &address, &document).await;
}

/// Exchanges gossip messages with all peers concurrently.
pub(crate) async fn broadcast_gossip(node: &Arc<Node>, clients: &Clients) {
    let addresses: Vec<String> = {
        let state = node.state();
        let peers = state.view.peers();
        peers
            .into_iter()
            .map(|member| node.peer_address(&member.name, &member.peer))
            .collect()
    };
    let exchanges = addresses
        .iter()
        .map(|address| exchange(node, clients, address, false));
    join_all(exchanges).await;
}

/// Counts a suspected crash of the request's target, which had it since `sent_at`, and reports it to
/// all peers before the request is processed further. Returns how long the request is quarantined
/// from now on, or `None` if it may be sent.
pub(crate) async fn report_crash(
    context: &Context,
    request: &Request,
    sent_at: Duration,
) -> Option<Duration> {
    let node = &context.node;
    let now = node.now();
    let counted = node
        .state()
        .quarantine
        .record_crash(&request.fingerprint, &(sent_at..now), now);
    if let Some(count) = counted {
        log::warn!(event = "crash_noted", request = request.id.as_str(), count = count; "connection to the target broke before a response; counting it as a crash caused by the request");
        let broadcast = broadcast_gossip(node, &context.clients);
        let _ = actix_web::rt::time::timeout(CRASH_BROADCAST_TIMEOUT, broadcast).await;
    }
    let now = node.now();
    node.state()
        .quarantine
        .remaining_time(&request.fingerprint, now)
}

/// Adds a VM from the platform's list or the settings to the membership view if it is
/// unknown. It counts as gone until a message from it arrives.
pub(crate) fn add_peer(node: &Node, vm: &VmInfo) {
    let now = node.now();
    let member = Member {
        name: vm.name.clone(),
        zone: vm.zone.clone(),
        peer: vm.peer.clone(),
        caller: String::new(),
        boot_ms: 0,
        beat: 0,
        status: Status::Gone,
        control: Revision::default(),
    };
    node.state().view.add_unknown(&member, now);
}

/// Publishes the load of the pools that this VM owns, for the next gossip messages.
pub(crate) fn report_pools(state: &mut State, now: Duration) {
    state.report_sequence += 1;
    let local = state.view.local_member();
    let (local_name, boot_ms) = (local.name.clone(), local.boot_ms);
    let beat = state.report_sequence;
    let admitting = state
        .pools
        .iter()
        .filter(|(_, pool_state)| pool_state.is_admitting(now));
    let reports: Vec<Pool> = admitting
        .map(|(key, pool_state)| {
            let snapshot = pool_state.pool.snapshot(now);
            Pool {
                service: key.service.clone(),
                site: key.site.clone(),
                owner: local_name.clone(),
                boot_ms,
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

/// Returns crash counts from the quarantine, with their expiry on the wall clock, since
/// the monotonic clocks of VMs differ.
fn crash_counts(state: &State, now: Duration, unix_time_ms: u64) -> Vec<Poison> {
    let records = state.quarantine.records(now).into_iter().take(MAX_POISONS);
    let to_poison = |(fingerprint, count, remaining): (&str, u32, Duration)| Poison {
        fingerprint: fingerprint.to_owned(),
        count,
        expires_ms: unix_time_ms + u64::try_from(remaining.as_millis()).unwrap_or(0),
    };
    records.map(to_poison).collect()
}
