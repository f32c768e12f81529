//! Runs idempotent requests, which may be tried again elsewhere.

use {
    super::{
        Context,
        slot::{acquire, answered},
    },
    crate::{
        node::{Answer, PoolKey, Request},
        peers,
        upstream::Ending,
    },
    std::time::Duration,
    wire::{Outcome, Reason},
};

/// Sends of one request to targets of one pool.
const MAX_TRIES: u32 = 3;
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Runs the request, and tries again on another target while the retry budget,
/// the quarantine and the deadline allow.
pub(crate) async fn run(context: &Context, key: &PoolKey, request: &Request) -> Answer {
    let mut avoid = None;
    context.node.state().budget(&key.service).deposit();
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
        match slot
            .send(request, try_timeout(context, request, attempt))
            .await
        {
            Ending::Answered {
                status,
                headers,
                body,
                ..
            } => return answered(status, headers, body, name),
            Ending::Shed | Ending::ConnectFailed => last = Reason::NoUpstream,
            Ending::Broke { reason, crash } => {
                log::info!(event = "exchange_broke", request = request.id.as_str(), target = name.as_str(), reason:% = reason; "exchange broke");
                last = reason;
                if crash && let Some(left) = peers::note_crash(context, request).await {
                    return Answer::refusal(Outcome::MayHaveRun, Reason::Quarantined, left);
                }
            }
        }
    }
    let outcome = if last == Reason::NoUpstream {
        Outcome::NotRun
    } else {
        Outcome::MayHaveRun
    };
    Answer::refusal(outcome, last, RETRY_AFTER)
}

fn may_retry(context: &Context, key: &PoolKey) -> bool {
    context.node.state().budget(&key.service).withdraw()
}

/// The first try gets half of the time that is left, so that a silent target
/// leaves time for another; later tries get all of it.
fn try_timeout(context: &Context, request: &Request, attempt: u32) -> Duration {
    let left = request.deadline.saturating_sub(context.node.now());
    if attempt == 1 { left / 2 } else { left }
}
