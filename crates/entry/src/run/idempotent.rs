//! Runs idempotent requests, which may be tried again elsewhere.

use {
    super::{
        Context,
        slot::{Slot, acquire, answered},
    },
    crate::{
        node::{PoolKey, Request, Response},
        peers,
        upstream::SendResult,
    },
    std::time::Duration,
    wire::{Outcome, Reason},
};

/// Sends of one request to targets of one pool.
const MAX_TRIES: u32 = 3;
const RETRY_AFTER: Duration = Duration::from_millis(500);
const USUAL_TIMES: u32 = 10;
const MIN_TRY: Duration = Duration::from_millis(250);

/// Runs the request, and tries again on another target while the retry budget,
/// the quarantine and the deadline allow.
pub(crate) async fn run(context: &Context, key: &PoolKey, request: &Request) -> Response {
    let mut avoid = None;
    context.node.state().retry_budget(&key.service).deposit();
    let mut last = Reason::UpstreamBroke;
    for attempt in 1..=MAX_TRIES {
        if attempt > 1 && !may_retry(context, key) {
            break;
        }
        let slot = match acquire(context, key, request, avoid).await {
            Ok(slot) => slot,
            Err(_) if attempt > 1 => break,
            Err((reason, retry_after)) => return request.refuse_unsent(reason, retry_after),
        };
        avoid = Some(slot.target());
        let name = slot.target_name();
        let timeout = try_timeout(context, &slot, request, attempt);
        match slot.send(request, timeout, attempt > 1).await {
            SendResult::Answered {
                status,
                headers,
                body,
                ..
            } => return answered(status, headers, body, name),
            SendResult::Shed | SendResult::ConnectFailed => last = Reason::NoUpstream,
            SendResult::Incomplete {
                reason,
                suspected_crash,
            } => {
                log::info!(event = "exchange_broke", request = request.id.as_str(), target = name.as_str(), reason:% = reason; "exchange broke");
                last = reason;
                if suspected_crash && let Some(left) = peers::report_crash(context, request).await {
                    return Response::refusal(Outcome::MayHaveRun, Reason::Quarantined, left);
                }
            }
        }
    }
    let outcome = if last == Reason::NoUpstream {
        Outcome::NotRun
    } else {
        Outcome::MayHaveRun
    };
    Response::refusal(outcome, last, RETRY_AFTER)
}

fn may_retry(context: &Context, key: &PoolKey) -> bool {
    context
        .node
        .state()
        .retry_budget(&key.service)
        .try_withdraw()
}

/// The first try gets a multiple of the target's usual time, and at most half of
/// the time that is left, so that a silent target leaves time for another on a
/// new connection. Later tries get all of it.
fn try_timeout(context: &Context, slot: &Slot<'_>, request: &Request, attempt: u32) -> Duration {
    let left = request.deadline.saturating_sub(context.node.now());
    if attempt > 1 {
        return left;
    }
    let usual = slot.service_time() * USUAL_TIMES;
    usual.max(MIN_TRY).min(left / 2)
}
