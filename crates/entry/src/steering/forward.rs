//! Forwarding of requests to the VM that owns the pool, and execution of forwarded requests.

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
/// Time reserved for the transfer of the response from the owner.
const RESPONSE_TRANSFER_TIME: Duration = Duration::from_millis(5);

/// Forwards a request to the owner of its pool and returns the response.
///
/// A request that did not reach the owner was not run. A request whose response was lost
/// may have run.
pub(crate) async fn forward_request(
    context: &Context,
    key: &PoolKey,
    request: &Request,
    owner: &Member,
) -> Response {
    let node = &context.node;
    let timeout = forward_timeout(request, node.now());
    let owner_timeout = timeout.saturating_sub(RESPONSE_TRANSFER_TIME);
    let owner_timeout_ms = u64::try_from(owner_timeout.as_millis()).unwrap_or(u64::MAX);
    let head = Forward {
        request: request.id.clone(),
        service: request.service.clone(),
        operation: request.operation.clone(),
        site: key.site.clone(),
        method: request.method.clone(),
        path: request.path.clone(),
        headers: request.headers.clone(),
        deadline_ms: owner_timeout_ms,
        key: request.idempotency_key.clone(),
        unresolved: request.unresolved_attempts,
        patience_ms: u32::try_from(request.max_wait.as_millis()).unwrap_or(u32::MAX),
        origin: request.origin.clone(),
        fingerprint: request.fingerprint.clone(),
    };
    match peers::forward_request(context, owner, &head, &request.body, timeout).await {
        Ok((reply, body)) => build_response(reply, body),
        Err(PeerError::Unreachable) => request.refuse_unsent(Reason::VmUnreachable, RETRY_AFTER),
        Err(PeerError::ResponseLost) if request.idempotent => {
            Response::refusal(Outcome::MayHaveRun, Reason::VmUnreachable, RETRY_AFTER)
        }
        Err(PeerError::ResponseLost) => Request::refuse_unknown_outcome(),
    }
}

/// Returns how long to wait for the owner's response. An idempotent request keeps half of
/// its remaining time for another site, in case the owner does not respond.
fn forward_timeout(request: &Request, now: Duration) -> Duration {
    let remaining = request.deadline.saturating_sub(now);
    if request.idempotent {
        remaining / 2
    } else {
        remaining
    }
}

fn build_response(reply: Reply, body: Bytes) -> Response {
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

/// Runs a request that a peer has forwarded, if this VM owns its pool. While the VM is
/// stopping, it still accepts forwarded requests.
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
    let remaining_quarantine = node
        .state()
        .quarantine
        .remaining_time(&request.fingerprint, now);
    if let Some(remaining) = remaining_quarantine {
        return request.refuse_unsent(Reason::Quarantined, remaining);
    }
    let key = PoolKey {
        service: request.service.clone(),
        site: head.site,
    };
    run::run_request(context, &key, &request).await
}

/// Returns the head of the reply to a forwarded request; the body follows it in the frame.
pub(crate) fn build_reply(response: &Response) -> Reply {
    let retry_after = response.retry_after.as_millis();
    Reply {
        outcome: response.outcome,
        reason: response.reason,
        status: response.status,
        headers: response.headers.clone(),
        retry_after_ms: u64::try_from(retry_after).unwrap_or(u64::MAX),
        target: response.target.clone(),
        replayed: response.replayed,
    }
}
