//! One send of a request to a target, directly or through the VM that keeps its queue.

use {
    crate::{
        Node,
        exchange::{
            Broken, NotRun, Outcome, Outgoing, Way,
            relay::{Errand, Relayed},
        },
        node::{QueueOwner, RequestContext, Reservation},
    },
    balance::Affinity,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Longest wait for a connection; a target that has lost its power says nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Passes a request to a target, through the VM that keeps its queue if that is another.
/// The error is the time after which that VM expects room.
pub(super) async fn pass(
    node: &Rc<Node>,
    work: &RequestContext,
    outgoing: &Outgoing,
    choice: &Reservation,
    fingerprint: &str,
) -> Result<Outcome, Duration> {
    if let Some(keeper) = &choice.queue_owner {
        match relay(node, work, outgoing, choice, keeper).await {
            Relayed::Done { outcome, ran } => {
                learn_relayed(node, work, choice, &outcome, ran, fingerprint);
                return Ok(outcome);
            }
            Relayed::Full { after } => return Err(after),
            Relayed::Unserved => {}
            Relayed::Unreachable => {
                log::warn!(event = "keeper_unreachable", vm = keeper.name.as_str(), target = choice.dispatch.target.as_str(), request = work.id.as_str(); "sending to the target directly");
                node.avoid_queue_owner(keeper, node.now());
            }
            Relayed::Silent(outcome) => {
                log::warn!(event = "keeper_silent", vm = keeper.name.as_str(), target = choice.dispatch.target.as_str(), request = work.id.as_str(), outcome = outcome.word(); "no answer from the VM that keeps the target's queue");
                node.avoid_queue_owner(keeper, node.now());
                return Ok(outcome);
            }
        }
    }
    Ok(direct(node, work, outgoing, choice, fingerprint).await)
}

async fn relay(
    node: &Rc<Node>,
    work: &RequestContext,
    outgoing: &Outgoing,
    choice: &Reservation,
    keeper: &QueueOwner,
) -> Relayed {
    let way = way(node, work, choice, keeper.address);
    let waited = node.now().saturating_sub(work.arrived_at) + work.prior_wait;
    let errand = Errand {
        first: choice.dispatch.affinity != Affinity::Unknown,
        waited: waited + choice.dispatch.round_trip,
    };
    node.client
        .relay(&node.header_names, outgoing, &way, &errand)
        .await
}

/// Takes what an exchange through another VM tells; that VM looks after the target.
fn learn_relayed(
    node: &Rc<Node>,
    work: &RequestContext,
    choice: &Reservation,
    outcome: &Outcome,
    ran: Option<Duration>,
    fingerprint: &str,
) {
    let now = node.now();
    let sent = &choice.dispatch;
    note_exchange(work, choice, outcome, now);
    match outcome {
        Outcome::Answered(response) => {
            let mut board = node.balancer.borrow_mut();
            board.record_relayed_response(sent, response.report, ran, now);
            node.quarantine.borrow_mut().record_success(fingerprint);
        }
        Outcome::NotRun {
            why: NotRun::Unreachable,
            ..
        } => fail(node, work, choice, now),
        Outcome::NotRun { report, .. } => {
            let mut board = node.balancer.borrow_mut();
            board.record_rejection(&sent.target, *report, now);
        }
        Outcome::Broken(why) => {
            let mut board = node.balancer.borrow_mut();
            board.record_rejection(&sent.target, None, now);
            if *why == Broken::Lost {
                crate::peers::detect_crash(node, choice.address, fingerprint);
            }
        }
        Outcome::TimedOut => {}
    }
}

fn note_exchange(work: &RequestContext, choice: &Reservation, outcome: &Outcome, now: Duration) {
    let sent = &choice.dispatch;
    let took_ms = u64::try_from(now.saturating_sub(sent.sent_at).as_millis()).unwrap_or(u64::MAX);
    let through = choice
        .queue_owner
        .as_ref()
        .map_or("", |keeper| &keeper.name);
    log::info!(event = "exchange", request = work.id.as_str(), target = sent.target.as_str(), through = through, outcome = outcome.word(), belief:? = sent.affinity, ahead = sent.requests_ahead, took_ms = took_ms; "exchange ended");
    metrics::counter!("cicadalift_exchanges_total", "outcome" => outcome.word()).increment(1);
}

fn way<'a>(
    node: &Node,
    work: &RequestContext,
    choice: &'a Reservation,
    address: SocketAddr,
) -> Way<'a> {
    Way {
        target: &choice.dispatch.target,
        address,
        deadline: node.clock.instant_at(work.deadline),
        connect_timeout: CONNECT_TIMEOUT,
        alone: false,
    }
}

/// Sends a request to its target and learns from how that ended.
pub(super) async fn direct(
    node: &Rc<Node>,
    work: &RequestContext,
    outgoing: &Outgoing,
    choice: &Reservation,
    fingerprint: &str,
) -> Outcome {
    let way = Way {
        alone: !work.is_idempotent(),
        ..way(node, work, choice, choice.address)
    };
    let outcome = node.client.send(&node.header_names, outgoing, &way).await;
    learn(node, work, choice, &outcome, fingerprint);
    outcome
}

/// Takes what an exchange tells of the target and the request.
fn learn(
    node: &Rc<Node>,
    work: &RequestContext,
    choice: &Reservation,
    outcome: &Outcome,
    fingerprint: &str,
) {
    let now = node.now();
    let sent = &choice.dispatch;
    note_exchange(work, choice, outcome, now);
    match outcome {
        Outcome::Answered(response) => {
            node.balancer
                .borrow_mut()
                .record_response(sent, response.report, now);
            node.quarantine.borrow_mut().record_success(fingerprint);
        }
        Outcome::NotRun {
            why: NotRun::Shed,
            report,
            ..
        } => {
            node.balancer
                .borrow_mut()
                .record_rejection(&sent.target, *report, now);
        }
        Outcome::NotRun {
            why: NotRun::Unsent,
            ..
        }
        | Outcome::TimedOut => {}
        Outcome::NotRun { .. } => fail(node, work, choice, now),
        Outcome::Broken(Broken::Lost) => {
            fail(node, work, choice, now);
            // The VM that handed the request over counts, as it sees all its targets.
            if work.assignment.is_none() {
                crate::peers::detect_crash(node, choice.address, fingerprint);
            }
        }
        Outcome::Broken(_) => {
            node.balancer
                .borrow_mut()
                .record_rejection(&sent.target, None, now);
        }
    }
}

fn fail(node: &Rc<Node>, work: &RequestContext, choice: &Reservation, now: Duration) {
    let may_eject = node.may_eject(&work.service);
    let target = &choice.dispatch.target;
    node.client.close_idle(choice.address);
    if node
        .balancer
        .borrow_mut()
        .record_failure(target, may_eject, now)
    {
        log::warn!(event = "target_ejected", target = target.as_str(), request = work.id.as_str(); "target is not used for a while");
    }
}
