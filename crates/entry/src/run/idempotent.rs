//! Execution of idempotent requests, which may be retried on another target.

use {
    super::{
        Context,
        slot::{Slot, acquire_slot, upstream_response},
    },
    crate::{
        node::{PoolKey, Request, Response},
        peers,
        upstream::SendResult,
    },
    std::time::Duration,
    wire::{Outcome, Reason},
};

/// Attempts of one request on targets of one pool.
const MAX_ATTEMPTS: u32 = 3;
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Timeout of the first attempt, as a multiple of the mean service time of the target.
const TIMEOUT_FACTOR: u32 = 10;
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// Runs the request and retries it on another target while the retry budget, the
/// quarantine and the deadline allow.
pub(crate) async fn run_with_retries(
    context: &Context,
    key: &PoolKey,
    request: &Request,
) -> Response {
    let mut avoid_target = None;
    context.node.state().retry_budget(&key.service).deposit();
    let mut last_failure = Reason::UpstreamBroke;
    for attempt in 1..=MAX_ATTEMPTS {
        if attempt > 1 && !try_withdraw_retry(context, key) {
            break;
        }
        let slot = match acquire_slot(context, key, request, avoid_target).await {
            Ok(slot) => slot,
            Err(_) if attempt > 1 => break,
            Err((reason, retry_after)) => return request.refuse_unsent(reason, retry_after),
        };
        avoid_target = Some(slot.target());
        let target_name = slot.target_name();
        let timeout = attempt_timeout(context, &slot, request, attempt);
        match slot.send(request, timeout, attempt > 1).await {
            SendResult::Answered {
                status,
                headers,
                body,
                ..
            } => return upstream_response(status, headers, body, target_name),
            SendResult::Shed | SendResult::ConnectFailed => last_failure = Reason::NoUpstream,
            SendResult::Incomplete {
                reason,
                suspected_crash,
            } => {
                log::info!(event = "exchange_broke", request = request.id.as_str(), target = target_name.as_str(), reason:% = reason; "exchange with the target failed before the complete response");
                last_failure = reason;
                if suspected_crash
                    && let Some(remaining) = peers::report_crash(context, request).await
                {
                    return Response::refusal(Outcome::MayHaveRun, Reason::Quarantined, remaining);
                }
            }
        }
    }
    let outcome = if last_failure == Reason::NoUpstream {
        Outcome::NotRun
    } else {
        Outcome::MayHaveRun
    };
    Response::refusal(outcome, last_failure, RETRY_AFTER)
}

/// Withdraws a retry from the budget of the service. Returns whether there was one left.
fn try_withdraw_retry(context: &Context, key: &PoolKey) -> bool {
    context
        .node
        .state()
        .retry_budget(&key.service)
        .try_withdraw()
}

/// Returns the timeout of an attempt.
///
/// The first attempt gets a multiple of the target's mean service time, and at most half
/// of the remaining time, so that enough is left for another target on a new connection
/// if the first one does not respond. Later attempts get all of the remaining time.
fn attempt_timeout(
    context: &Context,
    slot: &Slot<'_>,
    request: &Request,
    attempt: u32,
) -> Duration {
    let remaining = request.deadline.saturating_sub(context.node.now());
    if attempt > 1 {
        return remaining;
    }
    let expected = slot.mean_service_time() * TIMEOUT_FACTOR;
    expected.max(MIN_ATTEMPT_TIMEOUT).min(remaining / 2)
}
