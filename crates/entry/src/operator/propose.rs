//! Carries an operator's change into the table service and to all VMs.

use {
    crate::{
        node::Node,
        peers,
        upstream::Clients,
        watch::{self, CONTROL_ROW_KEY},
    },
    control::{Change, Kind, Proposer, Step, StoreEvent},
    futures_util::future::join_all,
    ports::{Condition, Effect, Op, OpResult, Platform, PlatformError},
    std::sync::Arc,
    wire::{Decision, Document, Proposal, Verdict},
};

/// Pushes of an accepted change to one VM.
const PUSH_TRIES: u32 = 2;

/// Makes a change, and says truthfully what became of it.
pub(crate) async fn propose(
    node: &Arc<Node>,
    platform: &Platform,
    clients: &Clients,
    proposal: &Proposal,
) -> Decision {
    if let Some(fault) = fault(node, &proposal.change) {
        return undecided(node, Verdict::Invalid, &fault);
    }
    let mut proposer = Proposer::new(&proposal.op, proposal.change.clone());
    let mut row_version = None;
    let mut event = read(node, platform, &mut row_version).await;
    loop {
        match proposer.handle(event) {
            Step::Read => event = read(node, platform, &mut row_version).await,
            Step::Write(next) => event = write(platform, &next, row_version).await,
            Step::Report {
                verdict: Verdict::Accepted,
                document: Some(document),
                ..
            } => return spread(node, clients, document).await,
            Step::Report {
                verdict, rejection, ..
            } => {
                let detail = rejection.map(|rejection| rejection.to_string());
                return undecided(node, verdict, &detail.unwrap_or_else(|| advice(verdict)));
            }
        }
    }
}

fn advice(verdict: Verdict) -> String {
    match verdict {
        Verdict::Unknown => "the platform's answer was lost; look at what is in force, and give the same change again".to_owned(),
        _ => "the platform cannot be reached; nothing was changed".to_owned(),
    }
}

async fn read(node: &Arc<Node>, platform: &Platform, row_version: &mut Option<u64>) -> StoreEvent {
    if watch::read_document(node, platform).await.is_err() {
        return StoreEvent::AnswerLost;
    }
    let rows = (platform.table.get)(vec![CONTROL_ROW_KEY.to_owned()]).await;
    let row = rows.ok().and_then(|mut rows| rows.pop().flatten());
    let Some(row) = row else {
        return StoreEvent::AnswerLost;
    };
    *row_version = Some(row.version);
    serde_json::from_str(&row.value).map_or(StoreEvent::AnswerLost, StoreEvent::Read)
}

async fn write(platform: &Platform, next: &Document, row_version: Option<u64>) -> StoreEvent {
    let (Some(version), Ok(value)) = (row_version, serde_json::to_string(next)) else {
        return StoreEvent::AnswerLost;
    };
    let op = Op {
        key: CONTROL_ROW_KEY.to_owned(),
        condition: Condition::Version(version),
        effect: Effect::Put(value),
    };
    match (platform.table.commit)(vec![op]).await {
        Ok(results) => match results.first() {
            Some(OpResult::Applied(_)) => StoreEvent::Written,
            Some(OpResult::Refused(_)) => StoreEvent::Conflict,
            None => StoreEvent::AnswerLost,
        },
        Err(
            PlatformError::Unreachable | PlatformError::Refused(_) | PlatformError::ResponseLost,
        ) => StoreEvent::AnswerLost,
    }
}

/// Puts an accepted document in force here and pushes it to every known VM.
async fn spread(node: &Arc<Node>, clients: &Clients, document: Document) -> Decision {
    let now = node.now();
    node.state().adopt_document(&document, now);
    log::info!(event = "control_accepted", version = document.version, preset = document.preset.as_str(); "change accepted");
    let peers: Vec<(String, String)> = {
        let state = node.state();
        let peers = state.view.peers().into_iter();
        peers
            .map(|peer| (peer.name.clone(), node.peer_address(&peer.name, &peer.peer)))
            .collect()
    };
    let pushes = peers
        .iter()
        .map(|(_, address)| push(clients, address, &document));
    let reached = join_all(pushes).await;
    let mut confirmed = vec![node.vm.name.clone()];
    let mut unconfirmed = Vec::new();
    for ((name, _), reached) in peers.into_iter().zip(reached) {
        if reached {
            confirmed.push(name);
        } else {
            unconfirmed.push(name);
        }
    }
    confirmed.sort();
    Decision {
        verdict: Verdict::Accepted,
        document,
        detail: String::new(),
        confirmed,
        unconfirmed,
    }
}

async fn push(clients: &Clients, address: &str, document: &Document) -> bool {
    for _ in 0..PUSH_TRIES {
        let version = peers::push_document(clients, address, document).await;
        if version.is_ok_and(|version| version >= document.version) {
            return true;
        }
    }
    false
}

fn undecided(node: &Node, verdict: Verdict, detail: &str) -> Decision {
    let state = node.state();
    let known = state.replica.current().cloned();
    Decision {
        verdict,
        document: known.unwrap_or_else(|| control::initial_document(&state.fleet.initial_preset)),
        detail: detail.to_owned(),
        confirmed: Vec::new(),
        unconfirmed: Vec::new(),
    }
}

/// What is wrong with a change, judged by the settings.
fn fault(node: &Node, change: &Change) -> Option<String> {
    let state = node.state();
    let fleet = &state.fleet;
    let mark = match change {
        Change::Preset { name, .. } => {
            let known = fleet.preset(name).is_some();
            return (!known).then(|| format!("preset {name:?} does not exist"));
        }
        Change::Back(_) => return None,
        Change::Leaving(mark) => mark,
    };
    let zone_exists = |zone: &str| fleet.site_of_zone(zone).is_some();
    let exists = match mark.kind {
        Kind::Zone => zone_exists(&mark.name),
        Kind::Vm => state
            .view
            .members()
            .iter()
            .any(|member| member.name == mark.name),
        Kind::Target => {
            let mut targets = fleet.services.iter().flat_map(|service| &service.targets);
            targets.any(|target| target.name == mark.name)
        }
        Kind::ServiceZone => mark
            .name
            .split_once('/')
            .is_some_and(|(service, zone)| fleet.service(service).is_some() && zone_exists(zone)),
    };
    (!exists).then(|| format!("{} {:?} does not exist", mark.kind, mark.name))
}
