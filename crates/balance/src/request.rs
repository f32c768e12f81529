//! A request that looks for a target, and what becomes of it.

use {
    crate::{Affinity, Locality, QueueKey},
    catalog::Target,
    std::time::Duration,
};

/// A request that looks for a target.
#[derive(Debug, Clone, Copy)]
pub struct PendingRequest<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Service that is to run it.
    pub service: &'a str,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Object that it concerns, if it says.
    pub object: Option<&'a str>,
    /// Identifier of the request, which stands in for the object.
    pub id: &'a str,
    /// Its place among those that wait.
    pub queue_key: QueueKey,
    /// Time since its caller asked first.
    pub caller_wait: Duration,
    /// Time since it arrived here.
    pub local_wait: Duration,
    /// Time until it ends without an answer.
    pub time_left: Duration,
}

/// A target that the request may go to.
#[derive(Debug, Clone, Copy)]
pub struct EligibleTarget<'a> {
    /// The target.
    pub target: &'a Target,
    /// How far it is.
    pub locality: Locality,
    /// Time there and back.
    pub round_trip: Duration,
    /// Whether it has just started.
    pub is_cold: bool,
    /// Whether another VM keeps its queue, and decides who waits for it.
    pub has_remote_queue: bool,
    /// Whether the object prefers another target that is not offered.
    pub is_fallback: bool,
}

/// A request that is at a target.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// Identifier of the target.
    pub target: String,
    /// Name of the route.
    pub route: String,
    /// How far the target is.
    pub locality: Locality,
    /// Object that the request concerns, if it says.
    pub object: Option<String>,
    /// When it was sent.
    pub sent_at: Duration,
    /// What was believed of the target and the object.
    pub affinity: Affinity,
    /// Requests that were taken to be at the target.
    pub requests_ahead: f64,
    /// Requests that the target runs at a time.
    pub slots: f64,
    /// Time there and back.
    pub round_trip: Duration,
}

/// What becomes of a request now.
#[derive(Debug, Clone)]
pub enum Decision {
    /// It goes to a target.
    Send(Dispatch),
    /// It waits for a target.
    Wait {
        /// Identifier of the target.
        target: String,
    },
    /// It is refused.
    Refuse {
        /// When a target is expected to have room.
        retry_after: Duration,
    },
}
