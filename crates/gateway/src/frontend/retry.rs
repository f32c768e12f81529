//! Sends a request to one target after another until one responds or none may be tried.

use {
    super::{
        attempt::Refusal,
        exchange::Exchange,
        hedge::attempt_with_copy,
        overdue::await_first_whole,
        progress::{Failure, Progress},
        response::{HttpResponse, text_response, unavailable_response},
    },
    crate::{
        Node,
        http_client::{TargetRequest, TargetResponse},
        node::{Divertible, QueueEntry, RequestContext, Reservation, Selection},
    },
    hyper::{StatusCode, header::CONTENT_LENGTH},
    std::{rc::Rc, time::Duration},
};

/// Maximum time until a queued request chooses a target again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(20);
/// A request with less time left is not sent, as no target could respond within it.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// Why there is no target for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Denial {
    /// A target is expected to have room after this time.
    Full(Duration),
    /// This VM ends before the response, or the one that relayed the request.
    Leaving,
}

/// Runs a request to its end, logs it and returns the response for the caller.
pub(crate) async fn send_with_retries(
    node: &Rc<Node>,
    mut context: RequestContext,
    request: &TargetRequest,
    fingerprint: &str,
) -> HttpResponse {
    let remaining_quarantine = node
        .quarantine
        .borrow()
        .remaining_time(fingerprint, node.now());
    let result = if let Some(retry_after) = remaining_quarantine {
        Err(Failure::NotExecuted {
            reason: "quarantined",
            retry_after,
            is_shed: false,
            had_free_slots: false,
        })
    } else {
        let mut progress = Progress::default();
        try_targets(node, &mut context, request, fingerprint, &mut progress).await
    };
    finish_request(node, &context, result)
}

/// Sends the request to targets in turn, within the retry budget and the route's maximum number
/// of attempts.
pub(super) async fn try_targets(
    node: &Rc<Node>,
    context: &mut RequestContext,
    request: &TargetRequest,
    fingerprint: &str,
    progress: &mut Progress,
) -> Result<TargetResponse, Failure> {
    loop {
        if context.deadline.saturating_sub(node.now()) < MIN_TIME_LEFT {
            return Err(progress.no_time_failure());
        }
        let reservation = match reserve_next(node, context).await {
            Ok(reservation) => reservation,
            Err(Denial::Leaving) => {
                progress.report_not_sent_again(context, "leaving");
                return Err(progress.leaving_failure());
            }
            Err(Denial::Full(retry_after)) => {
                node.record_room(context, false);
                progress.report_not_sent_again(context, "no room");
                return Err(progress.no_room_failure(retry_after));
            }
        };
        if !progress.withdraw_attempt(node, context) {
            progress.report_not_sent_again(context, "no budget");
            return Err(progress.no_target_failure(context.route.objective));
        }
        let target = reservation.dispatch.target.clone();
        context.tried_targets.push(target.clone());
        let attempted = attempt_with_copy(node, context, request, reservation, fingerprint).await;
        if let Some(target) = attempted.copied_to {
            context.tried_targets.push(target);
            progress.record_copy();
        }
        if let Err(Refusal::Elsewhere { may_load }) = attempted.result
            && context.divertible != Divertible::Closed
        {
            report_diverted(context, &target, may_load);
            context.divert(&target, may_load);
            continue;
        }
        if let Err(Refusal::HandedBack) = attempted.result {
            context.tried_targets.retain(|tried| *tried != target);
            continue;
        }
        // Whatever failed, the request goes to any of its targets from now on.
        context.divertible = Divertible::Closed;
        node.record_room(context, attempted.result.is_ok());
        match attempted.result {
            Err(Refusal::Elsewhere { .. } | Refusal::HandedBack) => {
                progress.record_full(context.route.objective)?;
            }
            Err(Refusal::Full(retry_after)) => progress.record_full(retry_after)?,
            Ok(Exchange::Open(exchange)) => {
                return await_first_whole(node, context, request, fingerprint, progress, *exchange)
                    .await;
            }
            Ok(Exchange::Ended(outcome)) => {
                if let Some(response) = progress.record_outcome(context, outcome)? {
                    return Ok(response);
                }
            }
        }
    }
}

/// Chooses the next target of a request: the second home of its object if it was handed back for that,
/// otherwise the one with the lowest cost.
///
/// # Errors
/// Returns why there is no target.
async fn reserve_next(
    node: &Rc<Node>,
    context: &mut RequestContext,
) -> Result<Reservation, Denial> {
    if let Divertible::Diverted { may_load, .. } = context.divertible {
        if let Some(reservation) = node.reserve_second_home(context, may_load, false) {
            return Ok(reservation);
        }
        context.divertible = Divertible::Closed;
    }
    wait_for_target(node, context).await
}

/// Chooses a target, and queues the request while that still leaves time for a response.
///
/// # Errors
/// Returns why there is no target.
pub(super) async fn wait_for_target(
    node: &Rc<Node>,
    context: &RequestContext,
) -> Result<Reservation, Denial> {
    let mut queued: Option<(String, QueueEntry)> = None;
    let mut awaited_load = false;
    loop {
        match node.select_target(context) {
            Selection::Send(reservation) => return Ok(*reservation),
            Selection::Refuse { retry_after } => return Err(Denial::Full(retry_after)),
            Selection::Leaving => return Err(Denial::Leaving),
            Selection::Wait {
                is_queued: false,
                target,
            } => {
                queued = None;
                if !awaited_load {
                    awaited_load = true;
                    report_load_awaited(context, &target);
                }
            }
            Selection::Wait { target, .. } => {
                let queued_for = queued.as_ref().map(|(target, _)| target);
                if queued_for != Some(&target) {
                    drop(queued.take());
                    let queue_entry = QueueEntry::enqueue(node, target.clone(), context.queue_key);
                    queued = Some((target, queue_entry));
                }
            }
        }
        // Requests of other VMs may also free a target, without a notification.
        let freed = node.capacity_freed.notified();
        let _ = tokio::time::timeout(RECHECK_INTERVAL, freed).await;
    }
}

fn report_diverted(context: &RequestContext, target: &str, may_load: bool) {
    let reason = match context.divertible {
        Divertible::Open => "slow",
        Divertible::Diverted { .. } | Divertible::Closed => "no room for it",
    };
    metrics::counter!("cicadalift_reads_diverted_total", "reason" => reason).increment(1);
    log::info!(event = "read_diverted", request = context.id.as_str(), target = target, reason = reason, may_load = may_load; "read is not run at this home of its object, but at the other one");
}

fn report_load_awaited(context: &RequestContext, target: &str) {
    metrics::counter!("cicadalift_loads_awaited_total").increment(1);
    log::info!(event = "load_awaited", request = context.id.as_str(), target = target; "request waits until its target has loaded the object for another one");
}

/// Builds the caller's response, and records the request in the log and metrics.
fn finish_request(
    node: &Rc<Node>,
    context: &RequestContext,
    result: Result<TargetResponse, Failure>,
) -> HttpResponse {
    let elapsed = node.now().saturating_sub(context.arrived_at);
    let (response, outcome) = match result {
        Ok(response) => {
            node.record_answer(&context.service);
            (into_caller_response(response), "answered")
        }
        Err(Failure::NotExecuted {
            reason,
            retry_after,
            is_shed,
            had_free_slots,
        }) => {
            let return_after = if is_shed {
                node.plan_return(context, retry_after, had_free_slots)
            } else {
                retry_after
            };
            (unavailable_response(reason, return_after), reason)
        }
        Err(Failure::Indeterminate(reason)) => (
            text_response(StatusCode::BAD_GATEWAY, "no whole answer"),
            reason,
        ),
        Err(Failure::TimedOut) => (
            text_response(StatusCode::GATEWAY_TIMEOUT, "time is up"),
            "timed out",
        ),
    };
    let took_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
    let status = response.status().as_u16();
    log::info!(event = "request_ended", request = context.id.as_str(), route = context.route.name.as_str(), service = context.service.as_str(), customer = context.customer_name(), status = status, outcome = outcome, targets = context.tried_targets.len(), version = node.route_table().version(), took_ms = took_ms; "request completed");
    metrics::counter!("cicadalift_requests_total", "outcome" => outcome).increment(1);
    metrics::histogram!("cicadalift_request_seconds").record(elapsed.as_secs_f64());
    response
}

/// Converts a target's response to the one for the caller, without hop-by-hop headers.
pub(super) fn into_caller_response(target_response: TargetResponse) -> HttpResponse {
    let mut headers = target_response.headers;
    super::head::remove_hop_by_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut response = HttpResponse::new(target_response.body);
    *response.status_mut() = target_response.status;
    *response.headers_mut() = headers;
    response
}
