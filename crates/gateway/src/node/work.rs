//! A request on its way, and what is held for it.

use {
    super::{Keeper, Node},
    balance::{Dispatch, PendingRequest, QueueKey},
    route::{Idempotency, Route},
    std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
};

/// A request on its way through this VM.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    pub(crate) id: String,
    pub(crate) route: Arc<Route>,
    pub(crate) service: String,
    pub(crate) object: Option<String>,
    pub(crate) arrived: Duration,
    /// How long before that its caller asked first.
    pub(crate) asked_before: Duration,
    /// When the caller or the route gives up.
    pub(crate) deadline: Duration,
    /// Its place among the requests that wait.
    pub(crate) turn: QueueKey,
    /// Targets that it was sent to.
    pub(crate) tried: Vec<String>,
    /// The target that it is to go to, where another VM chose that.
    pub(crate) only: Option<Only>,
}

/// A target that another VM chose.
#[derive(Debug, Clone)]
pub(crate) struct Only {
    pub(crate) target: String,
    /// Whether it is the first in the order of the object.
    pub(crate) first: bool,
}

impl Work {
    pub(super) fn wish(&self, now: Duration) -> PendingRequest<'_> {
        PendingRequest {
            route: &self.route.name,
            service: &self.service,
            objective: self.route.objective,
            object: self.object.as_deref(),
            id: &self.id,
            queue_key: self.turn,
            caller_wait: now.saturating_sub(self.arrived) + self.asked_before,
            local_wait: now.saturating_sub(self.arrived),
            time_left: self.deadline.saturating_sub(now),
        }
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.idempotency == Idempotency::Idempotent
    }
}

/// What becomes of a request now.
pub(crate) enum Step {
    /// It goes to a target.
    Send(Box<Choice>),
    /// It waits for a target.
    Wait { target: String },
    /// It is refused, with the time after which to come back.
    Refuse { after: Duration },
}

/// A target for a request.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) sent: Dispatch,
    pub(crate) address: SocketAddr,
    /// The VM through which the request goes.
    pub(crate) keeper: Option<Keeper>,
    _in_flight: InFlight,
}

impl Choice {
    /// A choice whose request is accounted for until the choice is dropped.
    pub(super) fn new(
        node: &Rc<Node>,
        sent: Dispatch,
        address: SocketAddr,
        keeper: Option<Keeper>,
    ) -> Self {
        Self {
            address,
            keeper,
            _in_flight: InFlight {
                node: node.clone(),
                sent: sent.clone(),
            },
            sent,
        }
    }
}

/// Accounts for a request at a target until it is dropped.
struct InFlight {
    node: Rc<Node>,
    sent: Dispatch,
}

impl std::fmt::Debug for InFlight {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("InFlight").field(&self.sent.target).finish()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.board.borrow_mut().record_completion(&self.sent);
        self.node.freed.notify_waiters();
    }
}

/// Holds a request's place in a target's queue until it is dropped.
pub(crate) struct Waiting {
    node: Rc<Node>,
    target: String,
    turn: QueueKey,
}

impl Waiting {
    pub(crate) fn enter(node: &Rc<Node>, target: String, turn: QueueKey) -> Self {
        node.board.borrow_mut().queues.enqueue(&target, turn);
        Self {
            node: node.clone(),
            target,
            turn,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut board = self.node.board.borrow_mut();
        board.queues.remove(&self.target, self.turn);
    }
}
