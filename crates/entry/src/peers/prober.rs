//! Probes other VMs in turn, and keeps the VM's own clockwork going.

use {
    super::{calls, gossip},
    crate::{node::Node, upstream::Clients},
    actix::{Actor, AsyncContext, Context},
    std::{sync::Arc, time::Duration},
    wire::{Member, Status},
};

/// Pause between two probes of this VM.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two looks at queues, ownership and suspicions.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause between two reports of the own pools.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two tries to tell former owners.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(200);
/// Peers asked to probe a member that did not answer.
const HELPERS: usize = 2;

/// Drives membership and the clockwork of a node.
pub(crate) struct Prober {
    pub(crate) node: Arc<Node>,
    pub(crate) clients: Clients,
}

impl Actor for Prober {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK_INTERVAL, |this, _| tick(&this.node));
        ctx.run_interval(REPORT_INTERVAL, |this, _| report(&this.node));
        ctx.run_interval(PROBE_INTERVAL, |this, _| this.probe_next());
        ctx.run_interval(NOTIFY_INTERVAL, |this, _| this.notify_former_owners());
    }
}

impl Prober {
    fn probe_next(&self) {
        let next = self.node.state().view.next_probe();
        let Some(member) = next else {
            return;
        };
        let (node, clients) = (self.node.clone(), self.clients.clone());
        actix::spawn(async move { probe(&node, &clients, &member).await });
    }
}

impl Prober {
    /// Tells the former owners of pools that this VM is about to take over.
    fn notify_former_owners(&self) {
        for name in self.node.state().owners_to_notify() {
            let (node, clients) = (self.node.clone(), self.clients.clone());
            actix::spawn(async move { notify(&node, &clients, &name).await });
        }
    }
}

async fn notify(node: &Arc<Node>, clients: &Clients, name: &str) {
    let member = {
        let state = node.state();
        let all = state.view.members();
        all.into_iter().find(|member| member.name == name).cloned()
    };
    let Some(member) = member else {
        return;
    };
    let address = node.peer_address(&member.name, &member.peer);
    if gossip::exchange(node, clients, &address, false).await {
        let now = node.now();
        node.state().mark_notified(name, now);
    }
}

/// Probes a member directly and, if that fails, through helpers.
async fn probe(node: &Arc<Node>, clients: &Clients, member: &Member) {
    let newcomer = member.boot_ms == 0;
    let address = node.peer_address(&member.name, &member.peer);
    let answered = gossip::exchange(node, clients, &address, newcomer).await;
    node.state().probed_members.insert(member.name.clone());
    if answered {
        return;
    }
    if member.status == Status::Gone || reached_by_helper(node, clients, member).await {
        return;
    }
    let now = node.now();
    log::info!(event = "member_suspect", member = member.name.as_str(); "member does not answer");
    node.state().view.mark_suspect(&member.name, now);
}

async fn reached_by_helper(node: &Arc<Node>, clients: &Clients, member: &Member) -> bool {
    let helpers = helpers(node, member);
    let asked = helpers
        .iter()
        .map(|helper| calls::probe_for(clients, helper, &member.name));
    let answers = futures_util::future::join_all(asked).await;
    answers.into_iter().any(|answer| answer == Ok(true))
}

fn helpers(node: &Node, member: &Member) -> Vec<String> {
    let state = node.state();
    let peers = state.view.peers().into_iter();
    let alive = peers.filter(|peer| peer.name != member.name && peer.status == Status::Alive);
    let mut addresses: Vec<String> = alive
        .map(|peer| node.peer_address(&peer.name, &peer.peer))
        .collect();
    let turn = rand::random_range(0..addresses.len().max(1));
    addresses.rotate_left(turn);
    addresses.truncate(HELPERS);
    addresses
}

/// Looks at suspicions, ownership and queues. A long gap since the last look
/// means that the process was paused: pools are taken over anew.
fn tick(node: &Node) {
    let now = node.now();
    let paused = node.is_paused(now);
    let mut state = node.state();
    if paused {
        log::warn!(event = "paused", gap:? = now.saturating_sub(state.last_tick_at); "process was paused");
        state.view.restart_suspicion_timers(now);
        for owned in state.pools.values_mut() {
            owned.restart_takeover(now);
        }
    }
    state.last_tick_at = now;
    state.view.expire_members(now);
    state.advance_pools(now);
}

fn report(node: &Node) {
    let now = node.now();
    let mut state = node.state();
    gossip::report_pools(&mut state, now);
    state.refresh_site_selectors(now);
}
