//! Waiting for a slot, and holding one.

use {
    crate::{
        node::{Node, PoolKey, Request, Response},
        upstream::{self, Call, Clients, SendResult},
    },
    std::{sync::Arc, time::Duration},
    steer::{Admission, Class, Completion, Grant, SlotRequest},
    tokio::sync::oneshot,
    wire::Reason,
};

/// What a request needs on its way through a VM.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) node: Arc<Node>,
    pub(crate) clients: Clients,
}

/// A reservation in a pool; given back when it is dropped.
pub(crate) struct Reservation<'a> {
    context: &'a Context,
    key: &'a PoolKey,
    class: Class,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let mut state = self.context.node.state();
        if let Some(owned) = state.pools.get_mut(self.key) {
            owned.pool.cancel_reservation(self.class);
        }
    }
}

/// A slot of a target; given back when it is dropped.
pub(crate) struct Slot<'a> {
    context: &'a Context,
    key: &'a PoolKey,
    grant: Grant,
    end: Completion,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let now = self.context.node.now();
        let mut state = self.context.node.state();
        if let Some(owned) = state.pools.get_mut(self.key) {
            owned.pool.release(&self.grant, self.end, now);
            owned.grant_slots(now);
        }
    }
}

/// Takes a waiting request out of its queue when its caller goes away.
struct Waiting<'a> {
    context: &'a Context,
    key: &'a PoolKey,
    ticket: u64,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.context.node.state();
        if let Some(owned) = state.pools.get_mut(self.key) {
            owned.pool.remove_waiter(self.ticket);
            owned.waiters.remove(&self.ticket);
        }
    }
}

/// Lets a request in ahead of its claim.
pub(crate) fn reserve<'a>(
    context: &'a Context,
    key: &'a PoolKey,
    request: &Request,
) -> Result<Reservation<'a>, (Reason, Duration)> {
    let now = context.node.now();
    let mut state = context.node.state();
    let class = request.class();
    let owned = state.pools.get_mut(key).ok_or(NOT_OWNER)?;
    if !owned.is_admitting(now) {
        return Err(NOT_OWNER);
    }
    let offer = offer(request, 0, None);
    match owned.pool.reserve(&offer, now) {
        Admission::Queued => Ok(Reservation {
            context,
            key,
            class,
        }),
        Admission::Refused {
            reason,
            retry_after,
        } => Err((reason, retry_after)),
    }
}

/// When to come back to a VM that does not own the pool yet.
const NOT_OWNER: (Reason, Duration) = (Reason::NotOwner, Duration::from_millis(500));

/// Waits for a slot until the request's deadline.
pub(crate) async fn acquire<'a>(
    context: &'a Context,
    key: &'a PoolKey,
    request: &Request,
    avoid: Option<usize>,
) -> Result<Slot<'a>, (Reason, Duration)> {
    let (ticket, granted) = enqueue(context, key, request, avoid)?;
    let _waiting = Waiting {
        context,
        key,
        ticket,
    };
    let left = request.deadline.saturating_sub(context.node.now());
    let word = actix_web::rt::time::timeout(left, granted).await;
    let retry_after = retry_after(context, key, request.class());
    match word {
        Ok(Ok(Ok(grant))) => Ok(Slot {
            context,
            key,
            grant,
            end: Completion::Unused,
        }),
        Ok(Ok(Err(reason))) => Err((reason, retry_after)),
        Ok(Err(_)) | Err(_) => Err((Reason::Overloaded, retry_after)),
    }
}

type Word = oneshot::Receiver<Result<Grant, Reason>>;

fn enqueue(
    context: &Context,
    key: &PoolKey,
    request: &Request,
    avoid: Option<usize>,
) -> Result<(u64, Word), (Reason, Duration)> {
    let now = context.node.now();
    let mut state = context.node.state();
    state.last_ticket += 1;
    let ticket = state.last_ticket;
    let owned = state.pools.get_mut(key).ok_or(NOT_OWNER)?;
    if !owned.is_admitting(now) {
        return Err(NOT_OWNER);
    }
    let admission = owned.pool.enqueue(&offer(request, ticket, avoid), now);
    if let Admission::Refused {
        reason,
        retry_after,
    } = admission
    {
        return Err((reason, retry_after));
    }
    let (sender, receiver) = oneshot::channel();
    owned.waiters.insert(ticket, sender);
    owned.grant_slots(now);
    Ok((ticket, receiver))
}

impl Slot<'_> {
    /// Position of the target.
    pub(crate) fn target(&self) -> usize {
        self.grant.target
    }

    /// Mean time that the target takes for a request.
    pub(crate) fn service_time(&self) -> Duration {
        let state = self.context.node.state();
        let owned = state.pools.get(self.key);
        owned.map_or(Duration::ZERO, |owned| {
            owned.pool.mean_service_time(self.grant.target)
        })
    }

    /// Name of the target.
    pub(crate) fn target_name(&self) -> String {
        let state = self.context.node.state();
        let owned = state.pools.get(self.key);
        let target = owned.and_then(|owned| owned.targets.get(self.grant.target));
        target.map(|target| target.name.clone()).unwrap_or_default()
    }

    /// Sends the request to the target of this slot, and gives the slot back.
    ///
    /// The request gets a connection of its own when `fresh` says so, or when a
    /// connection to the target has gone silent lately.
    pub(crate) async fn send(
        mut self,
        request: &Request,
        timeout: Duration,
        fresh: bool,
    ) -> SendResult {
        let node = &self.context.node;
        let target = {
            let state = node.state();
            let owned = state.pools.get(self.key);
            owned.and_then(|owned| owned.targets.get(self.grant.target).cloned())
        };
        let fenced = node.is_paused(node.now());
        let Some(target) = target.filter(|_| !fenced) else {
            return SendResult::ConnectFailed;
        };
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let call = Call {
            target: &target,
            timeout,
            new_connection: fresh || self.distrusts_pool(),
            deadline_ms: node.clock.unix_ms().saturating_add(timeout_ms),
        };
        let ending = upstream::send_request(&self.context.clients, request, &call).await;
        self.end = match &ending {
            SendResult::Answered { elapsed, .. } => Completion::Answered(*elapsed),
            SendResult::Shed => Completion::Shed,
            SendResult::ConnectFailed | SendResult::Incomplete { .. } => Completion::Failed,
        };
        if !call.new_connection && matches!(ending, SendResult::Incomplete { .. }) {
            self.distrust_pool();
        }
        if matches!(ending, SendResult::Answered { .. }) {
            node.state().quarantine.record_success(&request.fingerprint);
        }
        ending
    }
}

impl Slot<'_> {
    fn distrusts_pool(&self) -> bool {
        let now = self.context.node.now();
        let state = self.context.node.state();
        let owned = state.pools.get(self.key);
        let until = owned.and_then(|owned| owned.untrusted_until.get(&self.grant.target));
        until.is_some_and(|until| now < *until)
    }

    /// Open connections to the target may all be silent: they are left to expire.
    fn distrust_pool(&self) {
        let until = self.context.node.now() + upstream::IDLE_CONNECTION_TIMEOUT;
        let mut state = self.context.node.state();
        if let Some(owned) = state.pools.get_mut(self.key) {
            owned.untrusted_until.insert(self.grant.target, until);
        }
    }
}

fn offer(request: &Request, ticket: u64, avoid: Option<usize>) -> SlotRequest<'_> {
    SlotRequest {
        ticket,
        class: request.class(),
        deadline: request.deadline,
        origin: &request.origin,
        avoid_target: avoid,
        max_wait: request.max_wait,
    }
}

fn retry_after(context: &Context, key: &PoolKey, class: Class) -> Duration {
    let now = context.node.now();
    let state = context.node.state();
    let owned = state.pools.get(key);
    owned.map_or(Duration::from_millis(500), |owned| {
        owned.pool.expected_wait(class, now)
    })
}

/// An answer from what a target sent.
pub(crate) fn answered(
    status: u16,
    headers: Vec<wire::Header>,
    body: actix_web::web::Bytes,
    target: String,
) -> Response {
    Response {
        outcome: wire::Outcome::Answered,
        reason: Reason::None,
        status,
        headers,
        body,
        retry_after: Duration::ZERO,
        target,
        replayed: false,
    }
}
