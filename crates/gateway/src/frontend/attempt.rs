//! One attempt to send a request to a target, directly or through the VM that owns its queue.

use {
    crate::{
        Node,
        http_client::{
            Attempt, NotExecutedReason, Outcome, ResponseFault, TargetRequest,
            relay::{RelayContext, RelayOutcome},
        },
        node::{QueueOwner, RequestContext, Reservation},
    },
    balance::Affinity,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Without this limit, connecting to a target that has lost power would wait until the deadline.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Sends a request to a target, through the VM that owns the target's queue if there is another.
///
/// # Errors
/// Returns the delay after which that VM expects room if the target is full.
pub(super) async fn attempt_target(
    node: &Rc<Node>,
    work: &RequestContext,
    request: &TargetRequest,
    choice: &Reservation,
    fingerprint: &str,
) -> Result<Outcome, Duration> {
    if let Some(keeper) = &choice.queue_owner {
        match relay_to_owner(node, work, request, choice, keeper).await {
            RelayOutcome::Completed {
                outcome,
                running_time,
            } => {
                record_relayed_outcome(node, work, choice, &outcome, running_time, fingerprint);
                return Ok(outcome);
            }
            RelayOutcome::Full { retry_after } => return Err(retry_after),
            RelayOutcome::NotServed => {}
            RelayOutcome::Unreachable => {
                log::warn!(event = "keeper_unreachable", vm = keeper.name.as_str(), target = choice.dispatch.target.as_str(), request = work.id.as_str(); "VM that owns the target's queue is unreachable; sending to the target directly");
                node.avoid_queue_owner(keeper, node.now());
            }
            RelayOutcome::NoResponse(outcome) => {
                log::warn!(event = "keeper_silent", vm = keeper.name.as_str(), target = choice.dispatch.target.as_str(), request = work.id.as_str(), outcome = outcome.as_str(); "VM that owns the target's queue returned no response; the request may have run");
                node.avoid_queue_owner(keeper, node.now());
                return Ok(outcome);
            }
        }
    }
    Ok(send_directly(node, work, request, choice, fingerprint).await)
}

async fn relay_to_owner(
    node: &Rc<Node>,
    work: &RequestContext,
    request: &TargetRequest,
    choice: &Reservation,
    keeper: &QueueOwner,
) -> RelayOutcome {
    let attempt = build_attempt(node, work, choice, keeper.address);
    let waited = node.now().saturating_sub(work.arrived_at) + work.prior_wait;
    let context = RelayContext {
        is_first_choice: choice.dispatch.affinity != Affinity::Unknown,
        waited: waited + choice.dispatch.round_trip,
    };
    node.client
        .relay(&node.header_names, request, &attempt, &context)
        .await
}

/// Updates load, quarantine and health statistics after an exchange through another VM.
///
/// A lost connection counts as a rejection here, as the other VM tracks the target's failures.
fn record_relayed_outcome(
    node: &Rc<Node>,
    work: &RequestContext,
    choice: &Reservation,
    outcome: &Outcome,
    running_time: Option<Duration>,
    fingerprint: &str,
) {
    let now = node.now();
    let sent = &choice.dispatch;
    log_exchange(work, choice, outcome, now);
    match outcome {
        Outcome::Answered(response) => {
            let mut board = node.balancer.borrow_mut();
            board.record_relayed_response(sent, response.load_report, running_time, now);
            node.quarantine.borrow_mut().record_success(fingerprint);
        }
        Outcome::NotExecuted {
            reason: NotExecutedReason::Unreachable,
            ..
        } => record_failure(node, work, choice, now),
        Outcome::NotExecuted { load_report, .. } => {
            let mut board = node.balancer.borrow_mut();
            board.record_rejection(&sent.target, *load_report, now);
        }
        Outcome::Indeterminate(fault) => {
            let mut board = node.balancer.borrow_mut();
            board.record_rejection(&sent.target, None, now);
            if *fault == ResponseFault::ConnectionLost {
                crate::peers::detect_crash(node, choice.address, fingerprint);
            }
        }
        Outcome::TimedOut => {}
    }
}

fn log_exchange(work: &RequestContext, choice: &Reservation, outcome: &Outcome, now: Duration) {
    let sent = &choice.dispatch;
    let took_ms = u64::try_from(now.saturating_sub(sent.sent_at).as_millis()).unwrap_or(u64::MAX);
    let through = choice
        .queue_owner
        .as_ref()
        .map_or("", |keeper| &keeper.name);
    log::info!(event = "exchange", request = work.id.as_str(), target = sent.target.as_str(), through = through, outcome = outcome.as_str(), belief:? = sent.affinity, ahead = sent.requests_ahead, took_ms = took_ms; "exchange with the target completed");
    metrics::counter!("cicadalift_exchanges_total", "outcome" => outcome.as_str()).increment(1);
}

fn build_attempt<'a>(
    node: &Node,
    work: &RequestContext,
    choice: &'a Reservation,
    address: SocketAddr,
) -> Attempt<'a> {
    Attempt {
        target_id: &choice.dispatch.target,
        address,
        deadline: node.clock.instant_at(work.deadline),
        connect_timeout: CONNECT_TIMEOUT,
        needs_own_connection: false,
    }
}

/// Sends a request to its target without another VM in between, and records the outcome.
pub(super) async fn send_directly(
    node: &Rc<Node>,
    work: &RequestContext,
    request: &TargetRequest,
    choice: &Reservation,
    fingerprint: &str,
) -> Outcome {
    let attempt = Attempt {
        needs_own_connection: !work.is_idempotent(),
        ..build_attempt(node, work, choice, choice.address)
    };
    let outcome = node
        .client
        .send_to_target(&node.header_names, request, &attempt)
        .await;
    record_outcome(node, work, choice, &outcome, fingerprint);
    outcome
}

/// Updates load, quarantine and health statistics after a direct exchange with a target.
fn record_outcome(
    node: &Rc<Node>,
    work: &RequestContext,
    choice: &Reservation,
    outcome: &Outcome,
    fingerprint: &str,
) {
    let now = node.now();
    let sent = &choice.dispatch;
    log_exchange(work, choice, outcome, now);
    match outcome {
        Outcome::Answered(response) => {
            node.balancer
                .borrow_mut()
                .record_response(sent, response.load_report, now);
            node.quarantine.borrow_mut().record_success(fingerprint);
        }
        Outcome::NotExecuted {
            reason: NotExecutedReason::Shed,
            load_report,
            ..
        } => {
            node.balancer
                .borrow_mut()
                .record_rejection(&sent.target, *load_report, now);
        }
        Outcome::NotExecuted {
            reason: NotExecutedReason::Unsent,
            ..
        }
        | Outcome::TimedOut => {}
        Outcome::NotExecuted { .. } => record_failure(node, work, choice, now),
        Outcome::Indeterminate(ResponseFault::ConnectionLost) => {
            record_failure(node, work, choice, now);
            // The VM that relayed the request counts the crash, as it sees every target that
            // the request was sent to.
            if work.assignment.is_none() {
                crate::peers::detect_crash(node, choice.address, fingerprint);
            }
        }
        Outcome::Indeterminate(_) => {
            node.balancer
                .borrow_mut()
                .record_rejection(&sent.target, None, now);
        }
    }
}

/// Closes the idle connections to a target and counts a failure, which may eject the target.
fn record_failure(node: &Rc<Node>, work: &RequestContext, choice: &Reservation, now: Duration) {
    let may_eject = node.may_eject(&work.service);
    let target = &choice.dispatch.target;
    node.client.close_idle(choice.address);
    if node
        .balancer
        .borrow_mut()
        .record_failure(target, may_eject, now)
    {
        log::warn!(event = "target_ejected", target = target.as_str(), request = work.id.as_str(); "target ejected after failures; it receives no requests for a while");
    }
}
