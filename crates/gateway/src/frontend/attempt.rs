//! One attempt to send a request to a target, directly or through the VM that owns its queue.

use {
    crate::{
        Node,
        http_client::{
            Attempt, NotExecutedReason, Outcome, Receiver, ResponseFault, Reuse, StreamEnd,
            TARGET_CONNECT_TIMEOUT, TargetRequest,
            relay::{Diversion, RelayContext, RelayOutcome},
        },
        node::{AVOID_TIME, Cause, QueueOwner, RequestContext, Reservation},
    },
    balance::{Affinity, Dispatch, Feedback, second_home::Advice},
    route::Kind,
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Number of VMs that are asked to relay a request, one after the other.
const MAX_RELAYS: usize = 3;

/// Why an attempt sent nothing to its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// The target has no room before this time is over, or is not reached before.
    Full(Duration),
    /// The request is to run at another target of its object, which may load it for the request or not.
    Elsewhere { may_load: bool },
    /// The VM that owns the target's queue ends before the request could be answered.
    HandedBack,
}

/// Sends a request to a target, through the VM that owns the target's queue if there is another, or
/// through others in turn if this VM reaches no target.
///
/// # Errors
/// Returns why nothing was sent.
pub(super) async fn attempt_target(
    node: &Rc<Node>,
    context: &RequestContext,
    request: &TargetRequest,
    reservation: &Reservation,
    fingerprint: &str,
) -> Result<Outcome, Refusal> {
    let target = &reservation.dispatch.target;
    if let Some(refusal) = divert(node, context, reservation) {
        return Err(refusal);
    }
    let mut relay = reservation.queue_owner.clone();
    for _ in 0..MAX_RELAYS {
        let Some(vm) = &relay else {
            break;
        };
        let relayed = relay_through(node, context, request, reservation, vm);
        match relayed.await {
            RelayOutcome::Completed {
                outcome,
                running_time,
            } => {
                let exchange = RelayedExchange {
                    through: &vm.name,
                    outcome: &outcome,
                    running_time,
                };
                record_relayed_exchange(node, context, reservation, &exchange, fingerprint);
                return Ok(observe_body(node, context, reservation, outcome));
            }
            RelayOutcome::Full {
                retry_after,
                statements,
            } => {
                node.record_owner_statements(target, &statements, &vm.name, &context.id);
                node.record_full(target, retry_after);
                return Err(Refusal::Full(retry_after));
            }
            RelayOutcome::Elsewhere { may_load } => {
                return Err(Refusal::Elsewhere { may_load });
            }
            RelayOutcome::Leaving => {
                node.avoid_queue_owner(vm, node.now());
                return Err(Refusal::HandedBack);
            }
            RelayOutcome::NotServed {
                statements,
                is_cut_off,
            } => {
                node.record_owner_statements(target, &statements, &vm.name, &context.id);
                if is_cut_off {
                    node.avoid_queue_owner(vm, node.now());
                }
            }
            RelayOutcome::Unreachable => {
                log::warn!(event = "keeper_unreachable", vm = vm.name.as_str(), target = target.as_str(), request = context.id.as_str(); "VM that owns the target's queue is unreachable; sending to the target directly, unless it has a rate limit, rests or leaves");
                node.avoid_queue_owner(vm, node.now());
            }
            RelayOutcome::NoResponse(outcome) => {
                log::warn!(event = "keeper_silent", vm = vm.name.as_str(), target = target.as_str(), request = context.id.as_str(), outcome = outcome.as_str(); "VM that owns the target's queue returned no response; the request may have run");
                node.avoid_queue_owner(vm, node.now());
                return Ok(outcome);
            }
        }
        if !node.may_send_past_owner(target) {
            return Err(Refusal::Full(AVOID_TIME));
        }
        relay = node.substitute_for(context, target);
    }
    if relay.is_some() {
        return Err(Refusal::Full(AVOID_TIME));
    }
    Ok(send_directly(node, context, request, reservation, fingerprint).await)
}

/// Returns the refusal of a read that is to run elsewhere, if this VM owns the queue of its target.
fn divert(node: &Node, context: &RequestContext, reservation: &Reservation) -> Option<Refusal> {
    let dispatch = &reservation.dispatch;
    if reservation.queue_owner.is_some() {
        return None;
    }
    let Diversion::Possible { way } = node.diversion(context, reservation) else {
        return None;
    };
    match node.advise(context, &dispatch.target, way, dispatch.requests_ahead) {
        Advice::Stay => None,
        Advice::Elsewhere { may_load } => Some(Refusal::Elsewhere { may_load }),
    }
}

async fn relay_through(
    node: &Rc<Node>,
    context: &RequestContext,
    request: &TargetRequest,
    reservation: &Reservation,
    vm: &QueueOwner,
) -> RelayOutcome {
    let attempt = Attempt {
        receiver: Receiver::Vm,
        ..build_attempt(node, context, reservation, vm.address)
    };
    let waited = node.now().saturating_sub(context.arrived_at) + context.prior_wait;
    let relay_context = RelayContext {
        relayed_by: &node.settings.name,
        ends_in: node.ends_at().map(|at| at.saturating_sub(node.now())),
        customer: context.customer_name(),
        is_first_choice: reservation.dispatch.affinity != Affinity::Unknown,
        is_copy: reservation.is_copy,
        diversion: node.diversion(context, reservation),
        waited: waited + reservation.dispatch.round_trip,
    };
    let distance = reservation.dispatch.locality;
    node.record_traffic_over(Cause::RelayedRequests, distance, request.length());
    let relayed = node
        .client
        .relay(&node.header_names, request, &attempt, &relay_context)
        .await;
    if let RelayOutcome::Completed {
        outcome: Outcome::Answered(response),
        ..
    } = &relayed
    {
        let cause = if response.body.is_streamed() {
            Cause::RelayedStreams
        } else {
            Cause::RelayedResponses
        };
        node.record_traffic_over(cause, distance, response.length());
    }
    relayed
}

/// An exchange with a target through another VM.
struct RelayedExchange<'a> {
    /// Name of that VM.
    through: &'a str,
    outcome: &'a Outcome,
    /// Time that the target took to respond, if the VM states it.
    running_time: Option<Duration>,
}

/// Updates load, quarantine and health statistics after an exchange through another VM.
///
/// A lost connection counts as a rejection here, as the other VM tracks the target's failures.
fn record_relayed_exchange(
    node: &Rc<Node>,
    context: &RequestContext,
    reservation: &Reservation,
    exchange: &RelayedExchange<'_>,
    fingerprint: &str,
) {
    let now = node.now();
    let dispatch = &reservation.dispatch;
    let outcome = exchange.outcome;
    log_exchange(context, dispatch, exchange.through, outcome, now);
    record_statements(node, context, dispatch, outcome, false);
    record_response_time(node, context, dispatch, outcome, now);
    match outcome {
        Outcome::Answered(response) => {
            let mut balancer = node.balancer.borrow_mut();
            let load = response.feedback.load;
            balancer.record_relayed_response(dispatch, load, exchange.running_time, now);
            node.quarantine.borrow_mut().record_success(fingerprint);
        }
        Outcome::NotExecuted {
            reason: NotExecutedReason::Unreachable,
            ..
        } => record_failure(node, context, reservation, now),
        Outcome::NotExecuted { feedback, .. } => {
            record_rejection(node, &dispatch.target, feedback.as_ref(), now);
        }
        Outcome::Indeterminate(fault) => {
            let mut balancer = node.balancer.borrow_mut();
            balancer.record_rejection(&dispatch.target, None, now);
            if *fault == ResponseFault::ConnectionLost {
                crate::peers::detect_crash(node, reservation.address, fingerprint);
            }
        }
        Outcome::TimedOut => {}
    }
}

/// Records how long a caller's request was at its target, for the decisions on copies.
fn record_response_time(
    node: &Node,
    context: &RequestContext,
    dispatch: &Dispatch,
    outcome: &Outcome,
    now: Duration,
) {
    let took_time = matches!(outcome, Outcome::Answered(_) | Outcome::TimedOut);
    if took_time && node.may_copy(context, dispatch) {
        let elapsed = now.saturating_sub(dispatch.sent_at);
        let mut balancer = node.balancer.borrow_mut();
        balancer.hedging.record_response(dispatch, elapsed);
    }
}

/// Takes over what the target stated in its response, if it sent one.
fn record_statements(
    node: &Rc<Node>,
    context: &RequestContext,
    dispatch: &Dispatch,
    outcome: &Outcome,
    is_direct: bool,
) {
    if let Some(feedback) = outcome.feedback() {
        let (target, sent_at) = (&dispatch.target, dispatch.sent_at);
        node.record_statements(target, &feedback, sent_at, &context.id, is_direct);
    }
}

/// Logs an exchange with a target. `through` names the VM that relayed the request, if any.
fn log_exchange(
    context: &RequestContext,
    dispatch: &Dispatch,
    through: &str,
    outcome: &Outcome,
    now: Duration,
) {
    let took_ms =
        u64::try_from(now.saturating_sub(dispatch.sent_at).as_millis()).unwrap_or(u64::MAX);
    log::info!(event = "exchange", request = context.id.as_str(), target = dispatch.target.as_str(), through = through, outcome = outcome.as_str(), belief:? = dispatch.affinity, locality = dispatch.locality.as_str(), ahead = dispatch.requests_ahead, took_ms = took_ms; "exchange with the target completed");
    metrics::counter!("cicadalift_exchanges_total", "outcome" => outcome.as_str()).increment(1);
}

fn build_attempt<'a>(
    node: &Node,
    context: &'a RequestContext,
    reservation: &'a Reservation,
    address: SocketAddr,
) -> Attempt<'a> {
    Attempt {
        target_id: &reservation.dispatch.target,
        address,
        deadline: node.clock.instant_at(context.deadline),
        retry_objective: None,
        connect_timeout: TARGET_CONNECT_TIMEOUT,
        reuse: Reuse::Any,
        receiver: Receiver::Target,
        tracker: &context.tracker,
    }
}

/// Sends a request to its target without another VM in between, and records the outcome.
pub(super) async fn send_directly(
    node: &Rc<Node>,
    context: &RequestContext,
    request: &TargetRequest,
    reservation: &Reservation,
    fingerprint: &str,
) -> Outcome {
    let attempt = Attempt {
        retry_objective: may_send_again(context).then_some(context.route.objective),
        reuse: if context.is_idempotent() {
            Reuse::Any
        } else if node.client.keeps_for_single_runs() {
            Reuse::Recent
        } else {
            Reuse::Never
        },
        ..build_attempt(node, context, reservation, reservation.address)
    };
    let outcome = node
        .client
        .send_to_target(&node.header_names, request, &attempt)
        .await;
    record_outcome(node, context, reservation, &outcome, fingerprint);
    observe_body(node, context, reservation, outcome)
}

/// Returns whether the request may be sent to another target after this attempt, by this VM or the one
/// that relayed it. A download may take long, so that its time is not divided.
fn may_send_again(context: &RequestContext) -> bool {
    let tried_count = u32::try_from(context.tried_targets.len()).unwrap_or(u32::MAX);
    context.route.kind == Kind::Idempotent && tried_count.max(1) < context.route.max_attempts
}

/// Records how a streamed body ends: a target that breaks it off has failed.
fn observe_body(
    node: &Rc<Node>,
    context: &RequestContext,
    reservation: &Reservation,
    mut outcome: Outcome,
) -> Outcome {
    let Outcome::Answered(response) = &mut outcome else {
        return outcome;
    };
    let node = node.clone();
    let request_id = context.id.clone();
    let target = reservation.dispatch.target.clone();
    response.body.on_end(move |end| {
        metrics::counter!("cicadalift_streams_total", "end" => end.as_str()).increment(1);
        if end == StreamEnd::Complete {
            return;
        }
        log::info!(event = "response_cut", request = request_id.as_str(), target = target.as_str(), reason = end.as_str(); "response broken off while its body was passed on");
        if end == StreamEnd::Truncated {
            let now = node.now();
            node.balancer.borrow_mut().record_rejection(&target, None, now);
        }
    });
    outcome
}

/// Updates load, quarantine and health statistics after a direct exchange with a target.
fn record_outcome(
    node: &Rc<Node>,
    context: &RequestContext,
    reservation: &Reservation,
    outcome: &Outcome,
    fingerprint: &str,
) {
    reservation.record_end();
    let now = node.now();
    let dispatch = &reservation.dispatch;
    log_exchange(context, dispatch, "", outcome, now);
    record_statements(node, context, dispatch, outcome, true);
    record_response_time(node, context, dispatch, outcome, now);
    match outcome {
        Outcome::Answered(response) => {
            node.balancer
                .borrow_mut()
                .record_response(dispatch, response.feedback.load, now);
            node.quarantine.borrow_mut().record_success(fingerprint);
        }
        Outcome::NotExecuted {
            reason: NotExecutedReason::Shed,
            feedback,
            ..
        } => {
            record_rejection(node, &dispatch.target, feedback.as_ref(), now);
        }
        Outcome::NotExecuted {
            reason: NotExecutedReason::Unsent,
            ..
        }
        | Outcome::TimedOut => {}
        Outcome::NotExecuted { reason, .. } => {
            record_failure(node, context, reservation, now);
            if *reason == NotExecutedReason::Unreachable {
                node.record_unreachable();
            }
        }
        Outcome::Indeterminate(ResponseFault::ConnectionLost) => {
            record_failure(node, context, reservation, now);
            // The VM that relayed the request counts the crash, as it sees every target that
            // the request was sent to.
            if context.assignment.is_none() {
                crate::peers::detect_crash(node, reservation.address, fingerprint);
            }
        }
        Outcome::Indeterminate(_) => {
            node.balancer
                .borrow_mut()
                .record_rejection(&dispatch.target, None, now);
        }
    }
}

/// Updates the statistics of a target that rejected a request. One that wants to rest is not
/// failing.
fn record_rejection(node: &Node, target: &str, feedback: Option<&Feedback>, now: Duration) {
    let report = feedback.and_then(|feedback| feedback.load);
    let mut balancer = node.balancer.borrow_mut();
    if feedback.is_some_and(Feedback::asks_for_rest) {
        balancer.record_load(target, report, now);
    } else {
        balancer.record_rejection(target, report, now);
    }
}

/// Closes the idle connections to a target and counts a failure, which may eject the target.
fn record_failure(
    node: &Rc<Node>,
    context: &RequestContext,
    reservation: &Reservation,
    now: Duration,
) {
    let may_eject = node.may_eject(&context.service);
    let target = &reservation.dispatch.target;
    node.client.close_idle(reservation.address);
    if node
        .balancer
        .borrow_mut()
        .record_failure(target, may_eject, now)
    {
        log::warn!(event = "target_ejected", target = target.as_str(), request = context.id.as_str(); "target ejected after failures; it receives no requests for a while");
    }
}
