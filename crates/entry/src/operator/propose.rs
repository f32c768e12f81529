//! Writes an operator's change to the table service and pushes it to all VMs.

use {
    crate::{
        node::Node,
        peers,
        upstream::Clients,
        watch::{self, CONTROL_ROW_KEY},
    },
    control::{Action, Change, Kind, Proposer, StoreEvent},
    futures_util::future::join_all,
    ports::{Condition, Effect, Op, OpResult, Platform, PlatformError},
    std::sync::Arc,
    wire::{Decision, Document, Proposal, Verdict},
};

/// Attempts to push an accepted document to one VM.
const MAX_PUSH_ATTEMPTS: u32 = 2;

/// Validates a change, writes it to the control document and distributes the document.
///
/// The returned decision states whether the change is in force; after a lost response
/// of the table service this may be unknown.
pub(crate) async fn propose_change(
    node: &Arc<Node>,
    platform: &Platform,
    clients: &Clients,
    proposal: &Proposal,
) -> Decision {
    if let Some(error) = validation_error(node, &proposal.change) {
        return unaccepted_decision(node, Verdict::Invalid, &error);
    }
    let mut proposer = Proposer::new(&proposal.op, proposal.change.clone());
    let mut row_version = None;
    let mut event = read_row(node, platform, &mut row_version).await;
    loop {
        match proposer.handle(event) {
            Action::ReadDocument => event = read_row(node, platform, &mut row_version).await,
            Action::WriteDocument(document) => {
                event = write_row(platform, &document, row_version).await;
            }
            Action::ReportVerdict {
                verdict: Verdict::Accepted,
                document: Some(document),
                ..
            } => return distribute_document(node, clients, document).await,
            Action::ReportVerdict {
                verdict, rejection, ..
            } => {
                let detail = rejection.map(|rejection| rejection.to_string());
                return unaccepted_decision(
                    node,
                    verdict,
                    &detail.unwrap_or_else(|| describe_failure(verdict)),
                );
            }
        }
    }
}

/// Returns the explanation for the operator of a verdict that has no rejection.
fn describe_failure(verdict: Verdict) -> String {
    match verdict {
        Verdict::Unknown => "the platform's answer was lost; look at what is in force, and give the same change again".to_owned(),
        _ => "the platform cannot be reached; nothing was changed".to_owned(),
    }
}

/// Reads the control document and the version of its row, and returns that document or the one in
/// force on this VM, whichever is newer. In a new fleet it first writes the initial document. Any
/// failure is returned as a lost response.
async fn read_row(
    node: &Arc<Node>,
    platform: &Platform,
    row_version: &mut Option<u64>,
) -> StoreEvent {
    if watch::read_document(node, platform).await.is_err() {
        return StoreEvent::ResponseLost;
    }
    let rows = (platform.table.get)(vec![CONTROL_ROW_KEY.to_owned()]).await;
    let row = rows.ok().and_then(|mut rows| rows.pop().flatten());
    let Some(row) = row else {
        return StoreEvent::ResponseLost;
    };
    *row_version = Some(row.version);
    let Ok(stored) = serde_json::from_str::<Document>(&row.value) else {
        return StoreEvent::ResponseLost;
    };
    let stored_version = stored.version;
    let base = node.state().replica.newer_of(stored);
    if base.version > stored_version {
        log::warn!(event = "control_went_back", stored = stored_version, in_force = base.version; "table service has an older control document than the one in force; the change is based on that one");
    }
    StoreEvent::Read(base)
}

/// Writes the document if its row still has the version `row_version`. Any failure but
/// a version conflict is returned as a lost response.
async fn write_row(
    platform: &Platform,
    document: &Document,
    row_version: Option<u64>,
) -> StoreEvent {
    let (Some(version), Ok(value)) = (row_version, serde_json::to_string(document)) else {
        return StoreEvent::ResponseLost;
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
            None => StoreEvent::ResponseLost,
        },
        Err(
            PlatformError::Unreachable | PlatformError::Rejected(_) | PlatformError::ResponseLost,
        ) => StoreEvent::ResponseLost,
    }
}

/// Puts an accepted document in force on this VM and pushes it to every known VM. The
/// decision lists the VMs that have confirmed it and those that have not.
async fn distribute_document(node: &Arc<Node>, clients: &Clients, document: Document) -> Decision {
    let now = node.now();
    node.state().adopt_document(&document, now);
    log::info!(event = "control_accepted", version = document.version, preset = document.preset.as_str(); "change accepted; pushing the control document to all VMs");
    let peers: Vec<(String, String)> = {
        let state = node.state();
        let peers = state.view.peers().into_iter();
        peers
            .map(|peer| (peer.name.clone(), node.peer_address(&peer.name, &peer.peer)))
            .collect()
    };
    let pushes = peers
        .iter()
        .map(|(_, address)| push_with_retry(clients, address, &document));
    let confirmations = join_all(pushes).await;
    let mut confirmed = vec![node.vm.name.clone()];
    let mut unconfirmed = Vec::new();
    for ((name, _), is_confirmed) in peers.into_iter().zip(confirmations) {
        if is_confirmed {
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

/// Pushes a document to one VM. Returns whether the VM confirmed it or a newer one.
async fn push_with_retry(clients: &Clients, address: &str, document: &Document) -> bool {
    for _ in 0..MAX_PUSH_ATTEMPTS {
        let version = peers::push_document(clients, address, document).await;
        if version.is_ok_and(|version| version >= document.version) {
            return true;
        }
    }
    false
}

/// Builds the decision on a change that was not accepted, with the document in force on
/// this VM.
fn unaccepted_decision(node: &Node, verdict: Verdict, detail: &str) -> Decision {
    let state = node.state();
    let current = state.replica.current().cloned();
    Decision {
        verdict,
        document: current.unwrap_or_else(|| control::initial_document(&state.fleet.initial_preset)),
        detail: detail.to_owned(),
        confirmed: Vec::new(),
        unconfirmed: Vec::new(),
    }
}

/// Returns why a change is invalid under the fleet settings and the membership view, or
/// `None` if it is valid.
fn validation_error(node: &Node, change: &Change) -> Option<String> {
    let state = node.state();
    let fleet = &state.fleet;
    let mark = match change {
        Change::Preset { name, .. } => {
            let preset_exists = fleet.preset(name).is_some();
            return (!preset_exists).then(|| format!("preset {name:?} does not exist"));
        }
        Change::Back(_) => return None,
        Change::Leaving(mark) => mark,
    };
    let zone_exists = |zone: &str| fleet.site_of_zone(zone).is_some();
    let object_exists = match mark.kind {
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
    (!object_exists).then(|| format!("{} {:?} does not exist", mark.kind, mark.name))
}
