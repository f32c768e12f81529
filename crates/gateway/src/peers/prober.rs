//! The failure detector: probes the other VMs, directly and through peers.

use {
    super::{
        socket::{Socket, build_datagram, peer_address},
        statements::send_statements,
    },
    crate::{Node, node::Cause},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    wire::{Datagram, Member, Signal, Status},
};

const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for the acknowledgement of a ping.
const PING_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the acknowledgement of an indirect probe.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of peers that are asked for an indirect probe.
const INDIRECT_PROBERS: usize = 2;
/// An interval between probes that is longer than this means that the process was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);

/// Probes one member per interval until the process ends.
pub(crate) async fn probe_members(node: Rc<Node>, socket: Rc<Socket>) {
    let mut previous = node.now();
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let now = node.now();
        if now.saturating_sub(previous) > PAUSE_THRESHOLD {
            log::warn!(event = "paused", for_ms = crate::node::duration_ms(now.saturating_sub(previous)); "process was paused; suspicion timeouts restarted");
            node.member_view().restart_suspicion_timers(now);
        }
        previous = now;
        node.member_view().expire_members(now);
        let next = node.member_view().next_probe();
        if let Some(member) = next {
            tokio::task::spawn_local(probe(node.clone(), socket.clone(), member));
        }
    }
}

/// Probes a member and marks it as suspect if neither this VM nor other peers reach it.
async fn probe(node: Rc<Node>, socket: Rc<Socket>, member: Member) {
    let Some(to) = peer_address(&member) else {
        return;
    };
    send_statements(&node, &socket, to).await;
    if ping(&node, &socket, to, PING_TIMEOUT).await {
        return;
    }
    if probe_indirectly(&node, &socket, &member).await {
        return;
    }
    let now = node.now();
    let mut view = node.member_view();
    if view.is_alive(&member.name) {
        log::warn!(event = "member_doubted", vm = member.name.as_str(); "VM does not respond to probes and is marked as suspect");
    }
    view.mark_suspect(&member.name, now);
}

/// Sends a ping and returns whether it was acknowledged in time.
async fn ping(node: &Rc<Node>, socket: &Rc<Socket>, to: SocketAddr, timeout: Duration) -> bool {
    let number = socket.next_number();
    let acknowledgement = socket.expect_ack(number);
    let datagram = build_datagram(node, Signal::Ping, number, "");
    socket.send(node, Cause::Probes, to, &datagram).await;
    let is_acknowledged = tokio::time::timeout(timeout, acknowledgement).await.is_ok();
    socket.forget_ack(number);
    is_acknowledged
}

/// Asks other peers to ping a member and returns whether one of them reached it in time.
async fn probe_indirectly(node: &Rc<Node>, socket: &Rc<Socket>, member: &Member) -> bool {
    let probers: Vec<SocketAddr> = {
        let view = node.member_view();
        let peers = view.peers().into_iter();
        let candidates = peers.filter(|m| m.status == Status::Alive && m.name != member.name);
        candidates
            .filter_map(peer_address)
            .take(INDIRECT_PROBERS)
            .collect()
    };
    let number = socket.next_number();
    let acknowledgement = socket.expect_ack(number);
    for prober in probers {
        let datagram = build_datagram(node, Signal::Ask, number, &member.name);
        socket.send(node, Cause::Probes, prober, &datagram).await;
    }
    let is_acknowledged = tokio::time::timeout(INDIRECT_PROBE_TIMEOUT, acknowledgement)
        .await
        .is_ok();
    socket.forget_ack(number);
    is_acknowledged
}

/// Pings a member on behalf of the VM that sent `request`, and acknowledges the request if the
/// member responds.
pub(crate) async fn probe_for_peer(
    node: Rc<Node>,
    socket: Rc<Socket>,
    request: Datagram,
    from: SocketAddr,
) {
    let address = {
        let view = node.member_view();
        let member = view.members().into_iter().find(|m| m.name == request.about);
        member.and_then(peer_address)
    };
    let Some(address) = address else {
        return;
    };
    if ping(&node, &socket, address, PING_TIMEOUT).await {
        let acknowledgement = build_datagram(&node, Signal::Ack, request.number, "");
        socket
            .send(&node, Cause::Probes, from, &acknowledgement)
            .await;
    }
}

/// Sends a ping with the current gossip to a VM, without waiting for the acknowledgement. Does
/// nothing before the socket is open.
pub(crate) fn send_ping(node: &Rc<Node>, to: SocketAddr) {
    let Some(socket) = node.socket() else {
        return;
    };
    let datagram = build_datagram(node, Signal::Ping, socket.next_number(), "");
    let node = node.clone();
    tokio::task::spawn_local(async move {
        socket.send(&node, Cause::Probes, to, &datagram).await;
    });
}

/// Sends a ping with the current gossip to all peers, without waiting for acknowledgements.
pub(crate) fn broadcast_ping(node: &Rc<Node>) {
    let peers: Vec<SocketAddr> = {
        let view = node.member_view();
        view.peers().into_iter().filter_map(peer_address).collect()
    };
    for peer in peers {
        send_ping(node, peer);
    }
}
