//! Requests to a pool, its replies and its snapshots.

use {std::time::Duration, wire::Reason};

/// Class of a request. The two classes share a pool without starving each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestClass {
    /// Lookups and browsing, which may run more than once.
    Idempotent,
    /// Claims, payouts and the like, which must run at most once.
    NonIdempotent,
}

/// Number of request classes.
pub(crate) const CLASSES: usize = 2;

impl RequestClass {
    /// Returns the position of the class in an array of [`CLASSES`] entries.
    pub(crate) fn index(self) -> usize {
        match self {
            Self::Idempotent => 0,
            Self::NonIdempotent => 1,
        }
    }
}

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct SlotRequest<'a> {
    /// Identifies the request within the pool.
    pub ticket: u64,
    /// Class of the request.
    pub class: RequestClass,
    /// When the caller stops waiting.
    pub deadline: Duration,
    /// Region of the caller.
    pub origin: &'a str,
    /// Index of the target that failed the previous attempt; it is used only when no
    /// other target is usable.
    pub avoid_target: Option<usize>,
    /// Longest expected wait to accept; beyond it another site would respond sooner.
    pub max_wait: Duration,
}

/// Reply of a pool to a [`SlotRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted; [`crate::Pool::grant_next`] gives it a slot once it is enqueued.
    Queued,
    /// The request is not admitted.
    Refused {
        /// Why it is refused.
        reason: Reason,
        /// Time after which a slot is expected to be free.
        retry_after: Duration,
    },
}

/// A slot given to a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Ticket of the request.
    pub ticket: u64,
    /// Class of the request.
    pub class: RequestClass,
    /// Index of the target.
    pub target: usize,
}

/// How the use of a slot ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The complete response arrived after this time.
    Answered(Duration),
    /// The target refused to run the request.
    Shed,
    /// The target could not be reached, broke off the exchange or did not respond.
    Failed,
    /// The request was not sent.
    Unused,
}

/// Rate caps of a pool; `None` means unlimited.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RateLimits {
    /// The pool's share of the cap of its region, in requests per second.
    pub region_per_s: Option<u32>,
    /// The preset's cap on requests from other regions, in requests per second.
    pub shift_per_s: Option<u32>,
    /// The pool's share of the cap of each link, by the caller's region, in requests per
    /// second.
    pub links_per_s: Vec<(String, u32)>,
}

/// State of a pool, for reports to other VMs and the state dump.
#[derive(Debug, Clone)]
pub struct PoolSnapshot {
    /// Free slots of the targets in use.
    pub free_slots: u32,
    /// Requests that are queued or reserved.
    pub queued: u32,
    /// Expected wait of a new idempotent request.
    pub expected_wait: Duration,
    /// State of each target.
    pub targets: Vec<TargetSnapshot>,
}

/// State of one target.
#[derive(Debug, Clone)]
pub struct TargetSnapshot {
    /// Name of the target.
    pub name: String,
    /// Slots in use.
    pub busy_slots: u32,
    /// All slots.
    pub slots: u32,
    /// Whether an operator has taken the target out of use.
    pub is_leaving: bool,
    /// Whether the target is ejected after failures.
    pub is_ejected: bool,
    /// Mean service time in milliseconds.
    pub service_ms: f64,
}
