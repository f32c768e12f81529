//! One attempt to send a request to a target, directly or through the VM that owns its queue.

use {
    super::{
        exchange::{Exchange, OpenExchange},
        overdue::body_overdue,
        record::{RelayedExchange, observe_body, record_outcome, record_relayed_exchange},
    },
    crate::{
        Node,
        http_client::{
            Attempt, Outcome, Receiver, Reply, Reuse, TARGET_CONNECT_TIMEOUT, TargetRequest,
            relay::{Diversion, RelayContext, RelayOutcome},
        },
        node::{AVOID_TIME, Cause, QueueOwner, RequestContext, Reservation},
    },
    balance::{Affinity, second_home::Advice},
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
    reservation: &Rc<Reservation>,
    fingerprint: &str,
) -> Result<Exchange, Refusal> {
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
                let outcome = observe_body(node, context, reservation, outcome);
                return Ok(Exchange::Ended(outcome));
            }
            RelayOutcome::Partial(response) => {
                let exchange = OpenExchange::new(response, reservation, Some(vm.name.clone()));
                return Ok(Exchange::Open(Box::new(exchange)));
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
                return Ok(Exchange::Ended(outcome));
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
    reservation: &Rc<Reservation>,
    fingerprint: &str,
) -> Exchange {
    let attempt = Attempt {
        reuse: if context.is_idempotent() {
            Reuse::Any
        } else if node.client.keeps_for_single_runs() {
            Reuse::Recent
        } else {
            Reuse::Never
        },
        ..build_attempt(node, context, reservation, reservation.address)
    };
    let sent = node
        .client
        .send_to_target(&node.header_names, request, &attempt);
    let reply = match sent.await {
        Reply::Partial(response) if may_send_again(context) => {
            response.finish_unless(body_overdue(node, context)).await
        }
        Reply::Partial(response) => Reply::Ended(response.finish().await),
        Reply::Ended(outcome) => Reply::Ended(outcome),
    };
    match reply {
        Reply::Partial(response) => {
            Exchange::Open(Box::new(OpenExchange::new(response, reservation, None)))
        }
        Reply::Ended(outcome) => {
            record_outcome(node, context, reservation, &outcome, fingerprint);
            Exchange::Ended(observe_body(node, context, reservation, outcome))
        }
    }
}

/// Returns whether the request may be sent to another target after this attempt, by this VM or the one
/// that relayed it. A download may take long, so that it is awaited alone.
fn may_send_again(context: &RequestContext) -> bool {
    let tried_count = u32::try_from(context.tried_targets.len()).unwrap_or(u32::MAX);
    context.route.kind == Kind::Idempotent && tried_count.max(1) < context.route.max_attempts
}
