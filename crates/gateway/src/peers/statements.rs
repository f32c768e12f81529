//! Passes what targets state about themselves on to the other VMs.

use {
    super::socket::{Socket, peer_address},
    crate::{Node, node::duration_ms},
    balance::Gossip,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    wire::{Statement, Statements},
};

/// Maximum number of statements in one datagram.
const MAX_STATEMENTS: usize = 16;
/// Factor from requests per second to those per 1,000 seconds.
const SECONDS_PER_UNIT: f64 = 1000.0;

/// Sends some of the statements that are in force to a VM. Sends nothing if there are none.
pub(crate) async fn send_statements(node: &Rc<Node>, socket: &Socket, to: SocketAddr) {
    if let Some(datagram) = take_statements(node) {
        socket.send(to, &datagram).await;
    }
}

/// Sends some of the statements that are in force to all VMs.
pub(crate) fn broadcast_statements(node: &Rc<Node>) {
    let Some(socket) = node.socket() else {
        return;
    };
    let Some(datagram) = take_statements(node) else {
        return;
    };
    let peers: Vec<SocketAddr> = {
        let view = node.member_view();
        view.peers().into_iter().filter_map(peer_address).collect()
    };
    tokio::task::spawn_local(async move {
        for peer in peers {
            socket.send(peer, &datagram).await;
        }
    });
}

fn take_statements(node: &Node) -> Option<Statements> {
    let now = node.now();
    let catalog = node.catalog.borrow();
    let mut balancer = node.balancer.borrow_mut();
    let gossip = balancer.statements.take_gossip(MAX_STATEMENTS, now);
    let statements = gossip.iter().filter_map(|gossip| {
        Some(Statement {
            target: gossip.target.to_owned(),
            started_at_ms: catalog.get(gossip.target)?.started_at_ms,
            age_ms: duration_ms(now.saturating_sub(gossip.stated_at)),
            limit_per_1000_s: gossip.limit_per_s.map(to_units),
        })
    });
    let statements: Vec<Statement> = statements.collect();
    (!statements.is_empty()).then(|| Statements {
        from: node.settings.name.clone(),
        statements,
    })
}

/// Merges statements that a VM passed on, if they are of the target's current process.
pub(super) fn merge_statements(node: &Node, received: &Statements) {
    let now = node.now();
    for statement in &received.statements {
        let started_at_ms = {
            let catalog = node.catalog.borrow();
            catalog.get(&statement.target).map(|t| t.started_at_ms)
        };
        if started_at_ms != Some(statement.started_at_ms) {
            continue;
        }
        let gossip = Gossip {
            target: &statement.target,
            limit_per_s: statement.limit_per_1000_s.map(from_units),
            stated_at: now.saturating_sub(Duration::from_millis(statement.age_ms)),
        };
        node.merge_statement(&gossip, &received.from);
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "limits are not negative; huge ones saturate"
)]
fn to_units(limit_per_s: f64) -> u64 {
    (limit_per_s * SECONDS_PER_UNIT).round() as u64
}

#[allow(clippy::cast_precision_loss, reason = "limits are far below 2^52")]
fn from_units(limit_per_1000_s: u64) -> f64 {
    limit_per_1000_s as f64 / SECONDS_PER_UNIT
}
