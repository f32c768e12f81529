//! Carries a request to the VM that owns its pool, and its answer back.

use {
    crate::{
        errors::PeerError,
        node::{PoolKey, Request, Response},
        peers,
        run::{self, Context},
    },
    actix_web::web::Bytes,
    std::time::Duration,
    wire::{Forward, Member, Outcome, Reason, Reply},
};

const RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time kept for the answer's way back from the owner.
const RETURN_TIME: Duration = Duration::from_millis(5);

/// Sends a request to the owner of its pool.
pub(crate) async fn send(
    context: &Context,
    key: &PoolKey,
    request: &Request,
    owner: &Member,
) -> Response {
    let node = &context.node;
    let left = time_for(request, node.now());
    let own_time = left.saturating_sub(RETURN_TIME);
    let own_ms = u64::try_from(own_time.as_millis()).unwrap_or(u64::MAX);
    let head = Forward {
        request: request.id.clone(),
        service: request.service.clone(),
        operation: request.operation.clone(),
        site: key.site.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        deadline_ms: own_ms,
        key: request.idempotency_key.clone(),
        unresolved: request.unresolved_attempts,
        patience_ms: u32::try_from(request.max_wait.as_millis()).unwrap_or(u32::MAX),
        origin: request.origin.clone(),
        fingerprint: request.fingerprint.clone(),
    };
    match peers::forward_request(context, owner, &head, &request.body, left).await {
        Ok((reply, body)) => receive(reply, body),
        Err(PeerError::Unreachable) => request.refuse_unsent(Reason::VmUnreachable, RETRY_AFTER),
        Err(PeerError::ResponseLost) if request.idempotent => {
            Response::refusal(Outcome::MayHaveRun, Reason::VmUnreachable, RETRY_AFTER)
        }
        Err(PeerError::ResponseLost) => Request::refuse_unknown_outcome(),
    }
}

/// An idempotent request leaves half of its time for another site, in case the
/// owner stands still.
fn time_for(request: &Request, now: Duration) -> Duration {
    let left = request.deadline.saturating_sub(now);
    if request.idempotent { left / 2 } else { left }
}

fn receive(reply: Reply, body: Bytes) -> Response {
    Response {
        outcome: reply.outcome,
        reason: reply.reason,
        status: reply.status,
        headers: reply.headers,
        body,
        retry_after: Duration::from_millis(reply.retry_after_ms),
        target: reply.target,
        replayed: reply.replayed,
    }
}

/// Runs a forwarded request, if this VM owns its pool.
pub(crate) async fn run_forwarded(context: &Context, head: Forward, body: Bytes) -> Response {
    let node = &context.node;
    let idempotent = {
        let state = node.state();
        let service = state.fleet.service(&head.service);
        let mut operations = service.into_iter().flat_map(|service| &service.operations);
        operations
            .find(|operation| operation.name == head.operation)
            .map(|operation| operation.idempotent)
    };
    let request = Request {
        id: head.request,
        service: head.service,
        operation: head.operation,
        idempotent: idempotent.unwrap_or(false),
        method: head.method,
        path: head.path,
        headers: head.headers,
        body,
        deadline: node.now() + Duration::from_millis(head.deadline_ms),
        idempotency_key: head.key,
        unresolved_attempts: head.unresolved,
        origin: head.origin,
        fingerprint: head.fingerprint,
        max_wait: Duration::from_millis(u64::from(head.patience_ms)),
    };
    if idempotent.is_none() {
        return request.refuse_unsent(Reason::NotOwner, RETRY_AFTER);
    }
    if let Some(reason) = node
        .unavailable_reason()
        .filter(|reason| *reason != Reason::Stopping)
    {
        return request.refuse_unsent(reason, RETRY_AFTER);
    }
    let now = node.now();
    let blocked = node
        .state()
        .quarantine
        .blocked_for(&request.fingerprint, now);
    if let Some(left) = blocked {
        return request.refuse_unsent(Reason::Quarantined, left);
    }
    let key = PoolKey {
        service: request.service.clone(),
        site: head.site,
    };
    run::run_request(context, &key, &request).await
}

/// Head of the answer to a forwarded request.
pub(crate) fn build_reply(answer: &Response) -> Reply {
    let retry_after = answer.retry_after.as_millis();
    Reply {
        outcome: answer.outcome,
        reason: answer.reason,
        status: answer.status,
        headers: answer.headers.clone(),
        retry_after_ms: u64::try_from(retry_after).unwrap_or(u64::MAX),
        target: answer.target.clone(),
        replayed: answer.replayed,
    }
}
