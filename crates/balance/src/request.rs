//! The input and the result of a load-balancing decision.

use {
    crate::{Affinity, Locality, QueueKey, TargetCounts},
    catalog::Target,
    std::time::Duration,
};

/// A request for which a target is to be chosen.
#[derive(Debug, Clone, Copy)]
pub struct PendingRequest<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Service that runs the request.
    pub service: &'a str,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Object that the request concerns, if the caller states one and the route uses affinity.
    pub object: Option<&'a str>,
    /// Identifier of the request. It is hashed in place of a missing object.
    pub id: &'a str,
    /// Position in the queue of any target.
    pub queue_key: QueueKey,
    /// Time since the caller's first attempt.
    pub caller_wait: Duration,
    /// Time since the request arrived at this VM.
    pub local_wait: Duration,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Round trip to the nearest other region, if it is known beyond the eligible targets.
    pub remote_round_trip: Option<Duration>,
    /// Targets that may run the request, if more are known than the eligible ones.
    pub target_counts: Option<TargetCounts>,
}

impl<'a> PendingRequest<'a> {
    /// Returns the key by which targets are ranked: the object, or the identifier without one.
    #[must_use]
    pub fn key(&self) -> &'a str {
        self.object.unwrap_or(self.id)
    }
}

/// A target that the request may be sent to.
#[derive(Debug, Clone, Copy)]
pub struct EligibleTarget<'a> {
    /// The target as the catalog describes it.
    pub target: &'a Target,
    /// Network locality relative to this VM.
    pub locality: Locality,
    /// Network round trip to the target.
    pub round_trip: Duration,
    /// Whether the target is still warming up.
    pub is_cold: bool,
    /// Whether another VM owns the target's queue and decides which requests wait for it.
    pub has_remote_queue: bool,
    /// Whether the object prefers another target that is not among the eligible ones.
    pub is_fallback: bool,
}

/// A request sent to a target, with the estimates on which the choice was based.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// Identifier of the target.
    pub target: String,
    /// Name of the route.
    pub route: String,
    /// Network locality of the target.
    pub locality: Locality,
    /// Object that the request concerns, if any.
    pub object: Option<String>,
    /// When the request was sent.
    pub sent_at: Duration,
    /// Whether the target was expected to have the object cached.
    pub affinity: Affinity,
    /// Estimated number of requests at the target and ahead in its queue at the time.
    pub requests_ahead: f64,
    /// Requests that the target runs concurrently.
    pub slots: f64,
    /// Network round trip to the target.
    pub round_trip: Duration,
}

/// The decision for a request.
#[derive(Debug, Clone)]
pub enum Decision {
    /// Send the request to a target now.
    Send(Dispatch),
    /// Queue the request for a target.
    Wait {
        /// Identifier of the target.
        target: String,
    },
    /// Refuse the request.
    Refuse {
        /// Delay after which a target is expected to have capacity.
        retry_after: Duration,
    },
}
