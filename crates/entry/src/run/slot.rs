//! Admission to a pool, the wait for a slot, and the use of the slot.

use {
    crate::{
        node::{Node, PoolKey, Request, Response},
        upstream::{self, Call, Clients, SendResult},
    },
    std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
    steer::{Admission, Completion, Grant, RequestClass, SlotRequest},
    tokio::sync::oneshot,
    wire::Reason,
};

/// Shared dependencies of request processing on one thread.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) node: Arc<Node>,
    pub(crate) clients: Clients,
}

/// A reservation of a place in the queue of a pool; dropping it cancels the reservation.
pub(crate) struct Reservation<'a> {
    context: &'a Context,
    key: &'a PoolKey,
    class: RequestClass,
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        let mut state = self.context.node.state();
        if let Some(pool_state) = state.pools.get_mut(self.key) {
            pool_state.pool.cancel_reservation(self.class);
        }
    }
}

/// A granted slot of a target; dropping it releases the slot with its completion.
pub(crate) struct Slot<'a> {
    context: &'a Context,
    key: &'a PoolKey,
    grant: Grant,
    completion: Completion,
    /// Whether the target takes so long that its exchange counts as failed if it is dropped.
    overdue: Rc<Cell<bool>>,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        if self.completion == Completion::Unused && self.overdue.get() {
            self.completion = Completion::Failed;
        }
        let now = self.context.node.now();
        let mut state = self.context.node.state();
        if let Some(pool_state) = state.pools.get_mut(self.key) {
            pool_state.pool.release(&self.grant, self.completion, now);
            pool_state.grant_slots(now);
        }
    }
}

/// Guard that removes a waiting request from the queue, for example when the caller
/// disconnects.
struct QueueGuard<'a> {
    context: &'a Context,
    key: &'a PoolKey,
    ticket: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.context.node.state();
        if let Some(pool_state) = state.pools.get_mut(self.key) {
            pool_state.pool.remove_waiter(self.ticket);
            pool_state.waiters.remove(&self.ticket);
        }
    }
}

/// Reserves admission to a pool before the claim of the request is written.
///
/// On refusal, returns the reason and the time after which the caller may retry.
pub(crate) fn reserve_admission<'a>(
    context: &'a Context,
    key: &'a PoolKey,
    request: &Request,
) -> Result<Reservation<'a>, (Reason, Duration)> {
    let now = context.node.now();
    let mut state = context.node.state();
    let class = request.class();
    let pool_state = state.pools.get_mut(key).ok_or(NOT_OWNER)?;
    if !pool_state.is_admitting(now) {
        return Err(NOT_OWNER);
    }
    let slot_request = build_slot_request(request, 0, None);
    match pool_state.pool.reserve(&slot_request, now) {
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

/// Refusal by a VM that does not admit requests to the pool, with the time after which
/// the caller may retry.
const NOT_OWNER: (Reason, Duration) = (Reason::NotOwner, Duration::from_millis(500));

/// Waits for a slot until the deadline of the request.
///
/// On refusal, returns the reason and the time after which the caller may retry.
pub(crate) async fn acquire_slot<'a>(
    context: &'a Context,
    key: &'a PoolKey,
    request: &Request,
    avoid_target: Option<usize>,
) -> Result<Slot<'a>, (Reason, Duration)> {
    let (ticket, receiver) = enqueue(context, key, request, avoid_target)?;
    let _queue_guard = QueueGuard {
        context,
        key,
        ticket,
    };
    let remaining = request.deadline.saturating_sub(context.node.now());
    let result = actix_web::rt::time::timeout(remaining, receiver).await;
    let retry_after = retry_after(context, key, request.class());
    match result {
        Ok(Ok(Ok(grant))) => Ok(Slot {
            context,
            key,
            grant,
            completion: Completion::Unused,
            overdue: Rc::default(),
        }),
        Ok(Ok(Err(reason))) => Err((reason, retry_after)),
        Ok(Err(_)) | Err(_) => Err((Reason::Overloaded, retry_after)),
    }
}

type GrantReceiver = oneshot::Receiver<Result<Grant, Reason>>;

/// Adds a request to the queue of a pool and returns its ticket and the receiver of the
/// result.
fn enqueue(
    context: &Context,
    key: &PoolKey,
    request: &Request,
    avoid_target: Option<usize>,
) -> Result<(u64, GrantReceiver), (Reason, Duration)> {
    let now = context.node.now();
    let mut state = context.node.state();
    state.last_ticket += 1;
    let ticket = state.last_ticket;
    let pool_state = state.pools.get_mut(key).ok_or(NOT_OWNER)?;
    if !pool_state.is_admitting(now) {
        return Err(NOT_OWNER);
    }
    let admission = pool_state
        .pool
        .enqueue(&build_slot_request(request, ticket, avoid_target), now);
    if let Admission::Refused {
        reason,
        retry_after,
    } = admission
    {
        return Err((reason, retry_after));
    }
    let (sender, receiver) = oneshot::channel();
    pool_state.waiters.insert(ticket, sender);
    pool_state.grant_slots(now);
    Ok((ticket, receiver))
}

impl Slot<'_> {
    /// Returns the position of the target in the pool.
    pub(crate) fn target(&self) -> usize {
        self.grant.target
    }

    /// Returns the flag that is set once the target takes long.
    pub(crate) fn overdue(&self) -> Rc<Cell<bool>> {
        self.overdue.clone()
    }

    /// Returns the mean service time of the target.
    pub(crate) fn mean_service_time(&self) -> Duration {
        let state = self.context.node.state();
        let pool_state = state.pools.get(self.key);
        pool_state.map_or(Duration::ZERO, |pool_state| {
            pool_state.pool.mean_service_time(self.grant.target)
        })
    }

    /// Returns the name of the target.
    pub(crate) fn target_name(&self) -> String {
        let state = self.context.node.state();
        let pool_state = state.pools.get(self.key);
        let target = pool_state.and_then(|pool_state| pool_state.targets.get(self.grant.target));
        target.map(|target| target.name.clone()).unwrap_or_default()
    }

    /// Sends the request to the target of this slot and releases the slot.
    ///
    /// The request is sent on a new connection if `needs_own_connection` is set or if an
    /// exchange on a reused connection to the target has failed recently. Nothing is sent
    /// if the process was paused, because this VM may no longer own the pool.
    pub(crate) async fn send(
        mut self,
        request: &Request,
        timeout: Duration,
        needs_own_connection: bool,
    ) -> SendResult {
        let node = &self.context.node;
        let target = {
            let state = node.state();
            let pool_state = state.pools.get(self.key);
            pool_state.and_then(|pool_state| pool_state.targets.get(self.grant.target).cloned())
        };
        let is_fenced = node.is_paused(node.now());
        let Some(target) = target.filter(|_| !is_fenced) else {
            return SendResult::ConnectFailed;
        };
        let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
        let call = Call {
            target: &target,
            timeout,
            needs_own_connection: needs_own_connection || self.is_reuse_suspended(),
            deadline_ms: node.clock.unix_time_ms().saturating_add(timeout_ms),
        };
        let result = upstream::send_request(&self.context.clients, request, &call).await;
        self.completion = match &result {
            SendResult::Answered { elapsed, .. } => Completion::Answered(*elapsed),
            SendResult::Shed => Completion::Shed,
            SendResult::ConnectFailed | SendResult::Incomplete { .. } => Completion::Failed,
        };
        if !call.needs_own_connection && matches!(result, SendResult::Incomplete { .. }) {
            suspend_reuse(self.context, self.key, self.grant.target);
        }
        if matches!(result, SendResult::Answered { .. }) {
            node.state().quarantine.record_success(&request.fingerprint);
        }
        result
    }
}

impl Slot<'_> {
    /// Whether idle connections to the target must not be reused now.
    fn is_reuse_suspended(&self) -> bool {
        let now = self.context.node.now();
        let state = self.context.node.state();
        let pool_state = state.pools.get(self.key);
        let until = pool_state
            .and_then(|pool_state| pool_state.reuse_suspended_until.get(&self.grant.target));
        until.is_some_and(|until| now < *until)
    }
}

/// Stops the reuse of idle connections to a target until they have expired. All of them may be dead
/// although they still appear open.
pub(crate) fn suspend_reuse(context: &Context, key: &PoolKey, target: usize) {
    let until = context.node.now() + upstream::IDLE_CONNECTION_TIMEOUT;
    let mut state = context.node.state();
    if let Some(pool_state) = state.pools.get_mut(key) {
        pool_state.reuse_suspended_until.insert(target, until);
    }
}

fn build_slot_request(
    request: &Request,
    ticket: u64,
    avoid_target: Option<usize>,
) -> SlotRequest<'_> {
    SlotRequest {
        ticket,
        class: request.class(),
        deadline: request.deadline,
        origin: &request.origin,
        avoid_target,
        max_wait: request.max_wait,
    }
}

/// Returns the expected wait in the pool, after which the caller may retry.
fn retry_after(context: &Context, key: &PoolKey, class: RequestClass) -> Duration {
    let now = context.node.now();
    let state = context.node.state();
    let pool_state = state.pools.get(key);
    pool_state.map_or(Duration::from_millis(500), |pool_state| {
        pool_state.pool.expected_wait(class, now)
    })
}

/// Builds the response to the caller from the response of a target.
pub(crate) fn upstream_response(
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
