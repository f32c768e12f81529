//! Bodies without a length that are overdue: other targets are asked while the body goes on arriving.
//!
//! A body that states no length may have no end, so that others are asked while there is time.
//! The exchange with a target that is at work ends only when another response is whole. See
//! docs/PLATFORM.md, "Bodies without a length".

use {
    super::{
        exchange::OpenExchange,
        progress::{Failure, Progress},
        retry::try_targets,
    },
    crate::{
        Node,
        http_client::{Outcome, TargetRequest, TargetResponse},
        node::RequestContext,
    },
    balance::{Dispatch, body_time},
    std::{rc::Rc, time::Duration},
};

/// Interval at which it is checked whether a VM ends that owes a response whose body still comes.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which other targets are asked again if none has taken the request.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Completes when a response whose body states no length is not awaited alone any longer: while there is
/// time for another target, before the deadline or the end of a VM that owes the response.
pub(super) async fn body_overdue(node: &Rc<Node>, context: &RequestContext) {
    let mut respond_by = None;
    let mut overdue_at = Duration::MAX;
    loop {
        let now = node.now();
        let newest = node.respond_by(context);
        if overdue_at == Duration::MAX || newest != respond_by {
            let time_alone = body_time(node.time_left(context, now), context.route.objective);
            overdue_at = overdue_at.min(now + time_alone);
            respond_by = newest;
        }
        let remaining = overdue_at.saturating_sub(now);
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(END_CHECK_INTERVAL)).await;
    }
}

/// Awaits a response that goes on arriving, and sends the request to other targets beside it. Returns
/// the response that is whole first. A server error of another target, or a response that it breaks
/// off, is returned only if the first response does not become whole.
///
/// # Errors
/// The [`Failure`] of the request if there is no response.
pub(super) async fn await_first_whole(
    node: &Rc<Node>,
    context: &mut RequestContext,
    request: &TargetRequest,
    fingerprint: &str,
    progress: &mut Progress,
    exchange: OpenExchange,
) -> Result<TargetResponse, Failure> {
    exchange.report_overdue(node, context);
    progress.record_open_exchange();
    let dispatch = exchange.dispatch().clone();
    // Cloned, as the attempts at other targets change the context.
    let first_context = context.clone();
    let mut first = std::pin::pin!(exchange.finish(node, &first_context, fingerprint));
    let mut pause = Duration::ZERO;
    while progress.may_send_again(context) {
        let begins_after = pause;
        let others = async {
            tokio::time::sleep(begins_after).await;
            let response = try_targets(node, context, request, fingerprint, progress).await?;
            let is_whole = response.body.arrive().await;
            Ok::<_, Failure>((response, is_whole))
        };
        // Boxed, as the response of another target may go on arriving as well.
        let mut others = Box::pin(others);
        let result = tokio::select! {
            biased;
            outcome = first.as_mut() => return match outcome {
                Outcome::Answered(response) => Ok(*response),
                _ => others.await.map(|(response, _)| response),
            },
            result = others.as_mut() => result,
        };
        match result {
            Ok((response, is_whole)) if !is_whole || response.status.is_server_error() => {
                return Ok(into_response(first.await).unwrap_or(response));
            }
            Ok((response, _)) => {
                record_given_up(node, &first_context, &dispatch);
                return Ok(response);
            }
            Err(_) => pause = RETRY_INTERVAL,
        }
    }
    match first.await {
        Outcome::Answered(response) => Ok(*response),
        Outcome::TimedOut => Err(Failure::TimedOut),
        Outcome::NotExecuted { .. } | Outcome::Indeterminate(_) => {
            Err(progress.no_target_failure(context.route.objective))
        }
    }
}

fn into_response(outcome: Outcome) -> Option<TargetResponse> {
    match outcome {
        Outcome::Answered(response) => Some(*response),
        _ => None,
    }
}

/// Records that a response is dropped, as that of another target was whole first.
fn record_given_up(node: &Node, context: &RequestContext, dispatch: &Dispatch) {
    metrics::counter!("cicadalift_bodies_given_up_total").increment(1);
    log::info!(event = "body_given_up", request = context.id.as_str(), target = dispatch.target.as_str(); "body without a length is dropped, as another target's response is whole");
    let now = node.now();
    let mut balancer = node.balancer.borrow_mut();
    balancer.record_rejection(&dispatch.target, None, now);
}
