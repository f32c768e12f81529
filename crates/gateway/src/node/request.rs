//! A request on its way, and what is held for it.

use {
    super::{Node, QueueOwner},
    balance::{Dispatch, PendingRequest, QueueKey},
    route::{Idempotency, Route},
    std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
};

/// A request on its way through this VM.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    pub(crate) id: String,
    pub(crate) route: Arc<Route>,
    pub(crate) service: String,
    pub(crate) object: Option<String>,
    pub(crate) arrived_at: Duration,
    /// How long before that its caller asked first.
    pub(crate) prior_wait: Duration,
    /// When the caller or the route gives up.
    pub(crate) deadline: Duration,
    /// Its place among the requests that wait.
    pub(crate) queue_key: QueueKey,
    /// Targets that it was sent to.
    pub(crate) tried_targets: Vec<String>,
    /// The target that it is to go to, where another VM chose that.
    pub(crate) assignment: Option<Assignment>,
}

/// A target that another VM chose.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub(crate) target: String,
    /// Whether it is the first in the order of the object.
    pub(crate) is_first_choice: bool,
}

impl RequestContext {
    pub(super) fn wish(&self, now: Duration) -> PendingRequest<'_> {
        PendingRequest {
            route: &self.route.name,
            service: &self.service,
            objective: self.route.objective,
            object: self.object.as_deref(),
            id: &self.id,
            queue_key: self.queue_key,
            caller_wait: now.saturating_sub(self.arrived_at) + self.prior_wait,
            local_wait: now.saturating_sub(self.arrived_at),
            time_left: self.deadline.saturating_sub(now),
        }
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.idempotency == Idempotency::Idempotent
    }
}

/// What becomes of a request now.
pub(crate) enum Selection {
    /// It goes to a target.
    Send(Box<Reservation>),
    /// It waits for a target.
    Wait { target: String },
    /// It is refused, with the time after which to come back.
    Refuse { retry_after: Duration },
}

/// A target for a request.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) dispatch: Dispatch,
    pub(crate) address: SocketAddr,
    /// The VM through which the request goes.
    pub(crate) queue_owner: Option<QueueOwner>,
    _in_flight: InFlight,
}

impl Reservation {
    /// A choice whose request is accounted for until the choice is dropped.
    pub(super) fn new(
        node: &Rc<Node>,
        dispatch: Dispatch,
        address: SocketAddr,
        queue_owner: Option<QueueOwner>,
    ) -> Self {
        Self {
            address,
            queue_owner,
            _in_flight: InFlight {
                node: node.clone(),
                dispatch: dispatch.clone(),
            },
            dispatch,
        }
    }
}

/// Accounts for a request at a target until it is dropped.
struct InFlight {
    node: Rc<Node>,
    dispatch: Dispatch,
}

impl std::fmt::Debug for InFlight {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("InFlight")
            .field(&self.dispatch.target)
            .finish()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node
            .balancer
            .borrow_mut()
            .record_completion(&self.dispatch);
        self.node.capacity_freed.notify_waiters();
    }
}

/// Holds a request's place in a target's queue until it is dropped.
pub(crate) struct QueueEntry {
    node: Rc<Node>,
    target: String,
    queue_key: QueueKey,
}

impl QueueEntry {
    pub(crate) fn enqueue(node: &Rc<Node>, target: String, queue_key: QueueKey) -> Self {
        node.balancer
            .borrow_mut()
            .queues
            .enqueue(&target, queue_key);
        Self {
            node: node.clone(),
            target,
            queue_key,
        }
    }
}

impl Drop for QueueEntry {
    fn drop(&mut self) {
        let mut board = self.node.balancer.borrow_mut();
        board.queues.remove(&self.target, self.queue_key);
    }
}
