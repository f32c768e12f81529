//! Execution of idempotent requests, which may be retried on another target.

use {
    super::{
        Context,
        slot::{Slot, acquire_slot, suspend_reuse, upstream_response},
    },
    crate::{
        node::{PoolKey, Request, Response},
        peers,
        upstream::SendResult,
    },
    actix_web::rt::time::timeout,
    std::{pin::Pin, time::Duration},
    wire::{Outcome, Reason},
};

/// Attempts of one request on targets of one pool.
const MAX_ATTEMPTS: u32 = 3;
const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time for which the first attempt goes on alone, as a multiple of the mean service time of the target.
const ALONE_FACTOR: u32 = 10;
const MIN_TIME_ALONE: Duration = Duration::from_millis(250);

/// Why there is no response.
struct Failure {
    reason: Reason,
    retry_after: Duration,
    may_have_run: bool,
}

impl Failure {
    /// Creates the failure of an attempt.
    fn of_attempt(reason: Reason) -> Self {
        Self {
            reason,
            retry_after: RETRY_AFTER,
            may_have_run: reason != Reason::NoUpstream,
        }
    }

    /// Returns the failure of a request whose earlier attempts failed as well.
    fn after(self, earlier: &Self) -> Self {
        Self {
            may_have_run: self.may_have_run || earlier.may_have_run,
            ..self
        }
    }

    fn into_refusal(self) -> Response {
        let outcome = if self.may_have_run {
            Outcome::MayHaveRun
        } else {
            Outcome::NotRun
        };
        Response::refusal(outcome, self.reason, self.retry_after)
    }
}

/// Where and since when an attempt is made.
struct Destination {
    target: usize,
    target_name: String,
    sent_at: Duration,
}

impl Destination {
    fn new(context: &Context, slot: &Slot<'_>) -> Self {
        Self {
            target: slot.target(),
            target_name: slot.target_name(),
            sent_at: context.node.now(),
        }
    }
}

/// An attempt in progress.
type Sending<'a> = Pin<&'a mut dyn Future<Output = SendResult>>;

/// Runs the request, and retries it on another target while the retry budget, the
/// quarantine and the deadline allow.
///
/// If the first attempt takes long, the others go on beside it: its target may be at work, and there
/// may be no other one, or no quicker one. The first whole response is returned.
pub(crate) async fn run_with_retries(
    context: &Context,
    key: &PoolKey,
    request: &Request,
) -> Response {
    context.node.state().retry_budget(&key.service).deposit();
    let slot = match acquire_slot(context, key, request, None).await {
        Ok(slot) => slot,
        Err((reason, retry_after)) => return request.refuse_unsent(reason, retry_after),
    };
    let destination = Destination::new(context, &slot);
    let target = destination.target;
    let time_alone = time_alone(context, &slot, request);
    let overdue = slot.overdue();
    let first = slot.send(request, remaining(context, request), false);
    let mut first = std::pin::pin!(first);
    let result = if let Ok(result) = timeout(time_alone, first.as_mut()).await {
        match conclude(context, request, result, destination).await {
            Ok(response) => Ok(response),
            Err(failure) => retry(context, key, request, target, failure).await,
        }
    } else {
        overdue.set(true);
        suspend_reuse(context, key, target);
        log::info!(event = "attempt_overdue", request = request.id.as_str(), target = destination.target_name.as_str(); "target takes long; other targets are asked beside it");
        retry_beside(context, key, request, destination, first).await
    };
    result.unwrap_or_else(Failure::into_refusal)
}

/// Retries a request while its first attempt goes on, and returns the response that is whole first.
async fn retry_beside(
    context: &Context,
    key: &PoolKey,
    request: &Request,
    destination: Destination,
    mut first: Sending<'_>,
) -> Result<Response, Failure> {
    let unanswered = Failure::of_attempt(Reason::UpstreamTimeout);
    let others = retry(context, key, request, destination.target, unanswered);
    let mut others = std::pin::pin!(others);
    tokio::select! {
        biased;
        result = first.as_mut() => match conclude(context, request, result, destination).await {
            Ok(response) => Ok(response),
            Err(_) => others.await,
        },
        result = others.as_mut() => match result {
            Ok(response) => Ok(response),
            Err(failure) => {
                log::info!(event = "not_retried", request = request.id.as_str(), reason:% = failure.reason; "no other target has run the request; its first attempt goes on");
                let result = first.await;
                conclude(context, request, result, destination).await
            }
        },
    }
}

/// Sends the request to other targets than that of the last attempt, in turn.
///
/// # Errors
/// Returns the [`Failure`] of the last attempt.
async fn retry(
    context: &Context,
    key: &PoolKey,
    request: &Request,
    last_target: usize,
    last_failure: Failure,
) -> Result<Response, Failure> {
    let (mut avoid_target, mut failure) = (last_target, last_failure);
    for _ in 1..MAX_ATTEMPTS {
        if failure.reason == Reason::Quarantined || !try_withdraw_retry(context, key) {
            break;
        }
        let Ok(slot) = acquire_slot(context, key, request, Some(avoid_target)).await else {
            break;
        };
        let destination = Destination::new(context, &slot);
        avoid_target = destination.target;
        let result = slot.send(request, remaining(context, request), true).await;
        match conclude(context, request, result, destination).await {
            Ok(response) => return Ok(response),
            Err(newest) => failure = newest.after(&failure),
        }
    }
    Err(failure)
}

/// Returns the response of an attempt that has ended.
///
/// # Errors
/// Returns its [`Failure`] if there is none.
async fn conclude(
    context: &Context,
    request: &Request,
    result: SendResult,
    destination: Destination,
) -> Result<Response, Failure> {
    let target_name = destination.target_name;
    match result {
        SendResult::Answered {
            status,
            headers,
            body,
            ..
        } => Ok(upstream_response(status, headers, body, target_name)),
        SendResult::Shed | SendResult::ConnectFailed => {
            Err(Failure::of_attempt(Reason::NoUpstream))
        }
        SendResult::Incomplete {
            reason,
            suspected_crash,
        } => {
            log::info!(event = "exchange_broke", request = request.id.as_str(), target = target_name.as_str(), reason:% = reason; "exchange with the target failed before the complete response");
            if suspected_crash
                && let Some(retry_after) =
                    peers::report_crash(context, request, destination.sent_at).await
            {
                return Err(Failure {
                    reason: Reason::Quarantined,
                    retry_after,
                    may_have_run: true,
                });
            }
            Err(Failure::of_attempt(reason))
        }
    }
}

/// Withdraws a retry from the budget of the service. Returns whether there was one left.
fn try_withdraw_retry(context: &Context, key: &PoolKey) -> bool {
    context
        .node
        .state()
        .retry_budget(&key.service)
        .try_withdraw()
}

/// Returns the time that is left for a request.
fn remaining(context: &Context, request: &Request) -> Duration {
    request.deadline.saturating_sub(context.node.now())
}

/// Returns the time for which the first attempt goes on alone: a multiple of the target's mean service
/// time, and at most half of the remaining time, so that enough is left for another target on a
/// new connection if the first one does not respond.
fn time_alone(context: &Context, slot: &Slot<'_>, request: &Request) -> Duration {
    let expected = slot.mean_service_time() * ALONE_FACTOR;
    expected
        .max(MIN_TIME_ALONE)
        .min(remaining(context, request) / 2)
}
