//! Passes what targets state about themselves on to the other VMs.

use {
    super::socket::{Socket, peer_address},
    crate::{
        Node,
        node::{Cause, duration_ms},
    },
    balance::Gossip,
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    wire::{Statement, Statements},
};

/// Maximum number of statements of each kind in one datagram.
const MAX_STATEMENTS: usize = 16;
/// Statements about targets that are not known yet: the maximum, and the time for which they wait.
const MAX_PENDING: usize = 256;
const PENDING_RETENTION: Duration = Duration::from_secs(10);
/// Factor from requests per second to those per 1,000 seconds.
const SECONDS_PER_UNIT: f64 = 1000.0;

/// Sends some of the statements that are in force to a VM. Sends nothing if there are none.
pub(crate) async fn send_statements(node: &Rc<Node>, socket: &Socket, to: SocketAddr) {
    if let Some(datagram) = take_statements(node) {
        socket.send(node, Cause::Statements, to, &datagram).await;
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
    let node = node.clone();
    tokio::task::spawn_local(async move {
        for peer in peers {
            socket.send(&node, Cause::Statements, peer, &datagram).await;
        }
    });
}

fn take_statements(node: &Node) -> Option<Statements> {
    let now = node.now();
    let catalog = node.catalog.borrow();
    let mut balancer = node.balancer.borrow_mut();
    let gossip = balancer.statements.take_gossip(MAX_STATEMENTS, now);
    let limits = gossip.iter().filter_map(|gossip| {
        Some(Statement {
            target: gossip.target.to_owned(),
            started_at_ms: catalog.get(gossip.target)?.started_at_ms,
            age_ms: duration_ms(now.saturating_sub(gossip.stated_at)),
            limit_per_1000_s: gossip.limit_per_s.map(to_units),
            leaving: false,
        })
    });
    // As with limits, a statement from before the start of this process is not passed on.
    let leaving = catalog
        .leaving_targets()
        .filter(|(_, stated_at)| !stated_at.is_zero())
        .map(|(target, stated_at)| Statement {
            target: target.id.clone(),
            started_at_ms: target.started_at_ms,
            age_ms: duration_ms(now.saturating_sub(stated_at)),
            limit_per_1000_s: None,
            leaving: true,
        });
    let leaving = leaving.choose_multiple(&mut rand::rng(), MAX_STATEMENTS);
    let statements: Vec<Statement> = leaving.into_iter().chain(limits).collect();
    (!statements.is_empty()).then(|| Statements {
        from: node.settings.name.clone(),
        statements,
    })
}

/// Merges statements that a VM passed on. Those of a target that is not known yet wait for its row.
pub(super) fn merge_statements(node: &Node, received: Statements) {
    let now = node.now();
    for statement in received.statements {
        let heard = HeardStatement {
            stated_at: now.saturating_sub(Duration::from_millis(statement.age_ms)),
            heard_at: now,
            from: received.from.clone(),
            statement,
        };
        let is_known = node.catalog.borrow().get(&heard.statement.target).is_some();
        if is_known {
            heard.merge(node);
        } else {
            let mut pending = node.pending_statements.borrow_mut();
            if pending.len() < MAX_PENDING {
                pending.push(heard);
            }
        }
    }
}

/// Merges the statements of a target that were heard before its row was known.
pub(crate) fn merge_pending_statements(node: &Node, target: &str) {
    let pending = {
        let mut all = node.pending_statements.borrow_mut();
        let now = node.now();
        all.retain(|heard| now.saturating_sub(heard.heard_at) < PENDING_RETENTION);
        let is_of_target = |heard: &mut HeardStatement| heard.statement.target == target;
        all.extract_if(.., is_of_target).collect::<Vec<_>>()
    };
    for heard in pending {
        heard.merge(node);
    }
}

/// A statement of a target that another VM passed on.
#[derive(Debug)]
pub(crate) struct HeardStatement {
    statement: Statement,
    stated_at: Duration,
    heard_at: Duration,
    /// Name of the VM that passed it on.
    from: String,
}

impl HeardStatement {
    /// Takes the statement over if it is of the target's current process.
    fn merge(&self, node: &Node) {
        let target = &self.statement.target;
        let started_at_ms = node.catalog.borrow().get(target).map(|t| t.started_at_ms);
        if started_at_ms != Some(self.statement.started_at_ms) {
            return;
        }
        if self.statement.leaving {
            node.mark_leaving(target, self.stated_at, "", &self.from);
            return;
        }
        let gossip = Gossip {
            target,
            limit_per_s: self.statement.limit_per_1000_s.map(from_units),
            stated_at: self.stated_at,
        };
        node.merge_statement(&gossip, &self.from);
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
