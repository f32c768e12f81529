//! Probes other VMs to detect failures, and runs the periodic tasks of a node.

use {
    super::{calls, gossip},
    crate::{node::Node, upstream::Clients},
    actix::{Actor, AsyncContext, Context},
    std::{sync::Arc, time::Duration},
    wire::{Member, Status},
};

/// Interval between two probes by this VM.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two checks of queues, pool ownership and suspicion timeouts.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two load reports of the pools that this VM owns.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between two attempts to notify former owners.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(200);
/// Number of peers that are asked to probe a member that did not respond.
const INDIRECT_PROBES: usize = 2;

/// Actor that runs the failure detector and the periodic tasks of a node.
pub(crate) struct Prober {
    pub(crate) node: Arc<Node>,
    pub(crate) clients: Clients,
}

impl Actor for Prober {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TICK_INTERVAL, |this, _| tick(&this.node));
        ctx.run_interval(REPORT_INTERVAL, |this, _| report_load(&this.node));
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
    /// Notifies the former owners of the pools that this VM is about to take over.
    fn notify_former_owners(&self) {
        for name in self.node.state().owners_to_notify() {
            let (node, clients) = (self.node.clone(), self.clients.clone());
            actix::spawn(async move { notify_member(&node, &clients, &name).await });
        }
    }
}

/// Sends a gossip message, which is also a heartbeat of this VM. Once the member has
/// responded, the takeover of its pools continues.
async fn notify_member(node: &Arc<Node>, clients: &Clients, name: &str) {
    let member = {
        let state = node.state();
        let members = state.view.members();
        members
            .into_iter()
            .find(|member| member.name == name)
            .cloned()
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

/// Probes a member directly and, if that fails, through other peers. A member that
/// responds to none of them becomes a suspect.
async fn probe(node: &Arc<Node>, clients: &Clients, member: &Member) {
    // Only a member that was added from a list has no boot time: it has not responded yet.
    let peer_is_new = member.boot_ms == 0;
    let address = node.peer_address(&member.name, &member.peer);
    let has_responded = gossip::exchange(node, clients, &address, peer_is_new).await;
    node.state().probed_members.insert(member.name.clone());
    if has_responded {
        return;
    }
    if member.status == Status::Gone || responds_to_helper(node, clients, member).await {
        return;
    }
    let now = node.now();
    log::info!(event = "member_suspect", member = member.name.as_str(); "no response from the member, neither directly nor through other VMs; marking it as suspect");
    node.state().view.mark_suspect(&member.name, now);
}

/// Whether a member responds to one of a few peers that are asked to probe it.
async fn responds_to_helper(node: &Arc<Node>, clients: &Clients, member: &Member) -> bool {
    let helper_addresses = choose_helpers(node, member);
    let probes = helper_addresses
        .iter()
        .map(|helper_address| calls::probe_indirectly(clients, helper_address, &member.name));
    let results = futures_util::future::join_all(probes).await;
    results.into_iter().any(|result| result == Ok(true))
}

/// Returns the addresses of some randomly chosen peers that are alive, other than
/// `member`.
fn choose_helpers(node: &Node, member: &Member) -> Vec<String> {
    let state = node.state();
    let peers = state.view.peers().into_iter();
    let alive = peers.filter(|peer| peer.name != member.name && peer.status == Status::Alive);
    let mut addresses: Vec<String> = alive
        .map(|peer| node.peer_address(&peer.name, &peer.peer))
        .collect();
    let offset = rand::random_range(0..addresses.len().max(1));
    addresses.rotate_left(offset);
    addresses.truncate(INDIRECT_PROBES);
    addresses
}

/// Checks suspicion timeouts, pool ownership and queues. A long gap since the last tick
/// means that the process was paused: other VMs may own its pools now, so it takes them
/// over again from the start.
fn tick(node: &Node) {
    let now = node.now();
    let was_paused = node.is_paused(now);
    let mut state = node.state();
    if was_paused {
        log::warn!(event = "paused", gap:? = now.saturating_sub(state.last_tick_at); "process was paused; restarting suspicion timeouts and pool takeovers");
        state.view.restart_suspicion_timers(now);
        for pool_state in state.pools.values_mut() {
            pool_state.restart_takeover(now);
        }
    }
    state.last_tick_at = now;
    state.view.expire_members(now);
    state.advance_pools(now);
}

fn report_load(node: &Node) {
    let now = node.now();
    let mut state = node.state();
    gossip::report_pools(&mut state, now);
    state.refresh_site_selectors(now);
}
