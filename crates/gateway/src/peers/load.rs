//! VMs of one zone tell each other how much they have at each target.

use {
    super::socket::{Socket, address, datagram},
    crate::Node,
    balance::report_pause,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    wire::{Datagram, Load, Map, Signal, Status},
};

/// Pause between two looks at whether there is somebody to report to.
const STAND_BY: Duration = Duration::from_millis(500);
/// A report that was not renewed no longer holds.
const EXPIRES: Duration = Duration::from_millis(600);
/// Reports are repeated at this pace when nothing changes.
const REPEAT: Duration = Duration::from_millis(200);

/// What one VM has at the targets.
#[derive(Debug, Clone, Default)]
pub(crate) struct PeerLoad {
    at: Duration,
    loads: Map<String, u32>,
}

/// Tells the VMs of this zone of this VM's load until the process ends.
pub(crate) async fn load_loop(node: Rc<Node>, socket: Rc<Socket>) {
    let mut told: Vec<Load> = Vec::new();
    let mut told_at = Duration::ZERO;
    loop {
        let peers = zone_peers(&node);
        let Some(pause) = report_pause(peers.len()) else {
            tokio::time::sleep(STAND_BY).await;
            expire(&node, node.now());
            continue;
        };
        tokio::time::sleep(pause).await;
        let now = node.now();
        expire(&node, now);
        let loads = own_loads(&node);
        if loads == told && now.saturating_sub(told_at) < REPEAT {
            continue;
        }
        let mut message = datagram(&node, Signal::Load, 0, "");
        message.loads.clone_from(&loads);
        for peer in peers {
            socket.send(peer, &message).await;
        }
        told = loads;
        told_at = now;
    }
}

fn own_loads(node: &Node) -> Vec<Load> {
    let board = node.board.borrow();
    let loads = board.loads().map(|(target, running)| Load {
        target: target.to_owned(),
        running,
    });
    let mut loads: Vec<Load> = loads.collect();
    loads.sort_by(|a, b| a.target.cmp(&b.target));
    loads
}

fn zone_peers(node: &Node) -> Vec<SocketAddr> {
    let view = node.view();
    let peers = view.peers().into_iter();
    let near = peers.filter(|m| m.zone == node.settings.zone && m.status != Status::Suspect);
    near.filter_map(address).collect()
}

/// Takes another VM's load.
pub(crate) fn take(node: &Node, datagram: &Datagram) {
    let loads = datagram.loads.iter();
    let load = PeerLoad {
        at: node.now(),
        loads: loads.map(|l| (l.target.clone(), l.running)).collect(),
    };
    let name = datagram.from.name.clone();
    let before = node.peer_loads.borrow_mut().insert(name, load);
    refresh(node, before.as_ref());
}

fn expire(node: &Node, now: Duration) {
    let mut old = Vec::new();
    node.peer_loads.borrow_mut().retain(|_, load| {
        let holds = now.saturating_sub(load.at) < EXPIRES;
        if !holds {
            old.push(load.clone());
        }
        holds
    });
    for load in old {
        refresh(node, Some(&load));
    }
}

/// Sums what all peers have, for the targets named now or before.
fn refresh(node: &Node, before: Option<&PeerLoad>) {
    let peers = node.peer_loads.borrow();
    let mut sums: Map<&str, u32> = Map::default();
    for target in before.into_iter().flat_map(|load| load.loads.keys()) {
        sums.insert(target, 0);
    }
    for (target, running) in peers.values().flat_map(|load| &load.loads) {
        *sums.entry(target).or_default() += running;
    }
    let mut board = node.board.borrow_mut();
    for (target, running) in sums {
        board.set_peers(target, running);
    }
}
