//! The context of a request and the resources that are held for it.

use {
    super::{HeldToken, Node, QueueOwner, fair_share::ShareEntry},
    crate::http_client::{SendTracker, relay::Diversion},
    balance::{Dispatch, PendingRequest, QueueKey},
    customer::Customer,
    route::Route,
    std::{cell::Cell, net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
};

/// A request in progress. All times are counted from the start of the process.
#[derive(Debug, Clone)]
pub(crate) struct RequestContext {
    /// Identifier of the caller's attempt.
    pub(crate) id: String,
    pub(crate) route: Arc<Route>,
    /// Customer that makes the request; `None` on routes that need no key.
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) service: String,
    /// The object that determines the request's affinity to targets.
    pub(crate) object: Option<String>,
    pub(crate) arrived_at: Duration,
    /// Estimated time from the caller's first attempt to the arrival of this one.
    pub(crate) prior_wait: Duration,
    /// The earlier of the caller's deadline and the timeout of the route.
    pub(crate) deadline: Duration,
    /// When the caller gives up, which may be after the deadline of this attempt.
    pub(crate) caller_deadline: Duration,
    /// Position among the requests that wait at this VM.
    pub(crate) queue_key: QueueKey,
    /// Token of its customer that it spends here; `None` if its customer has no quota, or another VM
    /// took it. Held until the request ends.
    pub(crate) _token: Option<Rc<HeldToken>>,
    /// Whether the request may be at a target.
    pub(crate) tracker: SendTracker,
    /// Its part of the share of its customer; `None` without one.
    pub(crate) share: Option<Rc<ShareEntry>>,
    /// Targets that earlier attempts were sent to.
    pub(crate) tried_targets: Vec<String>,
    /// Whether the request may run at the second home of its object.
    pub(crate) divertible: Divertible,
    /// The only target that may run the request, if another VM relayed it here.
    pub(crate) assignment: Option<Assignment>,
}

/// Whether a read may run at the second home of its object, as this VM knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) enum Divertible {
    /// The VM that owns the queue of its target may hand it back for that.
    #[default]
    Open,
    /// It was handed back by the first home.
    Diverted { first_home: String, may_load: bool },
    /// The second home declined it.
    Closed,
}

/// A target selected by the VM that relayed the request.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub(crate) target: String,
    /// Whether the relaying VM expects the target to have the request's object cached, because
    /// it ran requests for the object recently or is its first choice.
    pub(crate) is_first_choice: bool,
    /// Whether the request also runs elsewhere, so that it must not wait here.
    pub(crate) is_copy: bool,
    /// What is possible beside the request's first target.
    pub(crate) diversion: Diversion,
    /// Name of the VM that relayed the request; `None` if it is of a build that does not say.
    pub(crate) relayed_by: Option<String>,
    /// When that VM ends, if it was leaving already.
    pub(crate) relayer_ends_at: Option<Duration>,
}

impl RequestContext {
    /// Returns the description of the request on which the balancer decides.
    pub(super) fn pending_request(&self, now: Duration) -> PendingRequest<'_> {
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
            remote_round_trip: None,
            target_counts: None,
        }
    }

    /// Returns whether the request may go to a target, as far as it was not there before.
    pub(super) fn may_try(&self, target: &str) -> bool {
        let is_first_home = match &self.divertible {
            Divertible::Diverted { first_home, .. } => first_home == target,
            Divertible::Open | Divertible::Closed => false,
        };
        !is_first_home && !self.tried_targets.iter().any(|tried| tried == target)
    }

    /// Records that a target did not get the request, as it is to run at another one: from the first
    /// home at the second, and from that at the first again.
    pub(crate) fn divert(&mut self, from: &str, may_load: bool) {
        self.tried_targets.retain(|tried| tried != from);
        self.divertible = match self.divertible {
            Divertible::Open => Divertible::Diverted {
                first_home: from.to_owned(),
                may_load,
            },
            Divertible::Diverted { .. } | Divertible::Closed => Divertible::Closed,
        };
    }

    /// Returns whether the caller was refused before.
    pub(crate) fn has_returned(&self) -> bool {
        !self.prior_wait.is_zero()
    }

    /// Returns whether both the route and the customer allow the request in a region.
    pub(crate) fn allows_region(&self, region: &str) -> bool {
        let customer = self.customer.as_ref();
        self.route.allows_region(region) && customer.is_none_or(|c| c.allows_region(region))
    }

    /// Returns the name of the customer for logs; empty without one.
    pub(crate) fn customer_name(&self) -> &str {
        self.customer.as_ref().map_or("", |customer| &customer.name)
    }

    /// Orders the request among those that wait by the share of its customer.
    pub(crate) fn enter_shares(&mut self, node: &Rc<Node>) {
        let (virtual_start, share) = ShareEntry::enter(node, self);
        self.queue_key.virtual_start = virtual_start;
        self.share = share.map(Rc::new);
    }

    /// Records that the request was sent to a target.
    pub(super) fn record_share_sent(&self) {
        if let Some(share) = &self.share {
            share.record_sent();
        }
    }

    /// Returns whether the request may run more than once.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.kind.is_idempotent()
    }
}

/// The result of a target selection.
pub(crate) enum Selection {
    /// The request is sent to a target.
    Send(Box<Reservation>),
    /// The request waits for a target.
    Wait {
        target: String,
        /// Whether it waits in the queue for the target's slots; otherwise for its object.
        is_queued: bool,
    },
    /// The request is refused. The caller may retry after the given time.
    Refuse { retry_after: Duration },
    /// There is room for the request, but this VM ends before its response, or the one that relayed
    /// it.
    Leaving,
}

/// A target at which a request counts as in flight until the reservation is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) dispatch: Dispatch,
    /// Address of the target.
    pub(crate) address: SocketAddr,
    /// The VM that relays the request to the target; `None` if this VM sends it directly.
    pub(crate) queue_owner: Option<QueueOwner>,
    /// Whether the request also runs at another target.
    pub(crate) is_copy: bool,
    /// Whether the target is the second home of the object, which may decline the copy.
    pub(crate) is_second_home: bool,
    in_flight: InFlight,
}

impl Reservation {
    /// Records that the exchange with the target has ended.
    pub(crate) fn record_end(&self) {
        self.in_flight.has_ended.set(true);
    }

    /// Creates a reservation for a dispatch that the balancer has already recorded.
    pub(super) fn new(
        node: &Rc<Node>,
        dispatch: Dispatch,
        address: SocketAddr,
        queue_owner: Option<QueueOwner>,
    ) -> Self {
        let is_direct = queue_owner.is_none();
        Self {
            address,
            queue_owner,
            is_copy: false,
            is_second_home: false,
            in_flight: InFlight {
                node: node.clone(),
                dispatch: dispatch.clone(),
                is_direct,
                has_ended: Cell::new(false),
            },
            dispatch,
        }
    }
}

/// Records the completion of a dispatch and wakes waiting requests when it is dropped.
struct InFlight {
    node: Rc<Node>,
    dispatch: Dispatch,
    /// Whether this VM sends the request itself.
    is_direct: bool,
    /// Whether the exchange has ended; otherwise it is stopped.
    has_ended: Cell<bool>,
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
        let mut balancer = self.node.balancer.borrow_mut();
        if self.is_direct && !self.has_ended.get() {
            balancer.record_stopped(&self.dispatch, self.node.now());
        }
        balancer.record_completion(&self.dispatch);
        drop(balancer);
        self.node.capacity_freed.notify_waiters();
    }
}

/// A request's entry in the queue of a target, removed when it is dropped.
pub(crate) struct QueueEntry {
    node: Rc<Node>,
    target: String,
    queue_key: QueueKey,
}

impl QueueEntry {
    /// Adds a request to the queue of a target.
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
        let mut balancer = self.node.balancer.borrow_mut();
        balancer.queues.remove(&self.target, self.queue_key);
    }
}
