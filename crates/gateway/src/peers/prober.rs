//! Finds out which VMs are there.

use {
    super::socket::{Socket, address, datagram},
    crate::Node,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    wire::{Datagram, Member, Signal, Status},
};

const PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a probe.
const ANSWER: Duration = Duration::from_millis(250);
/// Longest wait for the answer through helpers.
const HELPED_ANSWER: Duration = Duration::from_millis(500);
const HELPERS: usize = 2;
/// A period that lasted longer shows that this process stood still.
const PAUSED: Duration = Duration::from_millis(1500);

/// Probes one VM after the other until the process ends.
pub(crate) async fn probe_members(node: Rc<Node>, socket: Rc<Socket>) {
    let mut last = node.now();
    loop {
        tokio::time::sleep(PERIOD).await;
        let now = node.now();
        if now.saturating_sub(last) > PAUSED {
            log::warn!(event = "paused", for_ms = crate::node::duration_ms(now.saturating_sub(last)); "this process stood still");
            node.member_view().restart_suspicion_timers(now);
        }
        last = now;
        node.member_view().tick(now);
        let next = node.member_view().next_probe();
        if let Some(member) = next {
            tokio::task::spawn_local(probe(node.clone(), socket.clone(), member));
        }
    }
}

async fn probe(node: Rc<Node>, socket: Rc<Socket>, member: Member) {
    let Some(to) = address(&member) else {
        return;
    };
    if ping(&node, &socket, to, ANSWER).await {
        return;
    }
    if ask_helpers(&node, &socket, &member).await {
        return;
    }
    let now = node.now();
    let mut view = node.member_view();
    if view.is_alive(&member.name) {
        log::warn!(event = "member_doubted", vm = member.name.as_str(); "VM does not answer");
    }
    view.mark_suspect(&member.name, now);
}

async fn ping(node: &Rc<Node>, socket: &Rc<Socket>, to: SocketAddr, wait: Duration) -> bool {
    let number = socket.next_number();
    let answer = socket.expect(number);
    let message = datagram(node, Signal::Ping, number, "");
    socket.send(to, &message).await;
    let answered = tokio::time::timeout(wait, answer).await.is_ok();
    socket.give_up(number);
    answered
}

async fn ask_helpers(node: &Rc<Node>, socket: &Rc<Socket>, member: &Member) -> bool {
    let helpers: Vec<SocketAddr> = {
        let view = node.member_view();
        let peers = view.peers().into_iter();
        let fit = peers.filter(|m| m.status == Status::Alive && m.name != member.name);
        fit.filter_map(address).take(HELPERS).collect()
    };
    let number = socket.next_number();
    let answer = socket.expect(number);
    for helper in helpers {
        let message = datagram(node, Signal::Ask, number, &member.name);
        socket.send(helper, &message).await;
    }
    let answered = tokio::time::timeout(HELPED_ANSWER, answer).await.is_ok();
    socket.give_up(number);
    answered
}

/// Probes a VM for another one.
pub(crate) async fn help(node: Rc<Node>, socket: Rc<Socket>, asked: Datagram, from: SocketAddr) {
    let about = {
        let view = node.member_view();
        let found = view.members().into_iter().find(|m| m.name == asked.about);
        found.and_then(address)
    };
    let Some(about) = about else {
        return;
    };
    if ping(&node, &socket, about, ANSWER).await {
        let answer = datagram(&node, Signal::Ack, asked.number, "");
        socket.send(from, &answer).await;
    }
}

/// Tells a VM of this one without waiting for an answer.
pub(crate) fn send_ping(node: &Rc<Node>, to: SocketAddr) {
    let Some(socket) = node.socket() else {
        return;
    };
    let message = datagram(node, Signal::Ping, socket.next_number(), "");
    tokio::task::spawn_local(async move { socket.send(to, &message).await });
}

/// Tells all VMs at once.
pub(crate) fn broadcast_ping(node: &Rc<Node>) {
    let peers: Vec<SocketAddr> = {
        let view = node.member_view();
        view.peers().into_iter().filter_map(address).collect()
    };
    for peer in peers {
        send_ping(node, peer);
    }
}
