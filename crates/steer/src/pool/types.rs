//! What a pool is asked, and what it says.

use {std::time::Duration, wire::Reason};

/// The two kinds of work that share a pool without starving each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Class {
    /// Look-ups and browsing, which may run twice.
    Idempotent,
    /// Claims, payouts and the like, which run at most once.
    NonIdempotent,
}

/// How many kinds there are.
pub(crate) const CLASSES: usize = 2;

impl Class {
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
    /// Number that names the request to the pool.
    pub ticket: u64,
    /// Kind of its work.
    pub class: Class,
    /// When its caller stops waiting.
    pub deadline: Duration,
    /// Region of its caller.
    pub origin: &'a str,
    /// Target that failed it before.
    pub avoid_target: Option<usize>,
    /// Longest expected wait that it accepts; another site would be sooner.
    pub max_wait: Duration,
}

/// What the pool says to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It waits, or a slot is granted by the next [`crate::Pool::grant_next`].
    Queued,
    /// It is not taken.
    Refused {
        /// Why.
        reason: Reason,
        /// When a slot is expected to be free.
        retry_after: Duration,
    },
}

/// A slot given to a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The request.
    pub ticket: u64,
    /// Kind of its work.
    pub class: Class,
    /// Position of the target.
    pub target: usize,
}

/// How a dispatched request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The whole answer came, after this time.
    Answered(Duration),
    /// The target refused to run it.
    Shed,
    /// The target could not be reached, broke off or stayed silent.
    Failed,
    /// The slot was not used.
    Unused,
}

/// Rates that the pool may not exceed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RateLimits {
    /// The pool's part of its region's cap, in requests a second.
    pub region_per_s: Option<u32>,
    /// The preset's cap on requests from other regions, in requests a second.
    pub shift_per_s: Option<u32>,
    /// The pool's part of each link's cap by the region of the edge, in requests a second.
    pub links_per_s: Vec<(String, u32)>,
}

/// What a pool looks like, for reports and dumps.
#[derive(Debug, Clone)]
pub struct PoolSnapshot {
    /// Slots that are free in targets that take new work.
    pub free_slots: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Expected wait of a new request.
    pub expected_wait: Duration,
    /// Each target.
    pub targets: Vec<TargetSnapshot>,
}

/// What a target looks like.
#[derive(Debug, Clone)]
pub struct TargetSnapshot {
    /// Name of the target.
    pub name: String,
    /// Slots in use.
    pub busy_slots: u32,
    /// Slots it has.
    pub slots: u32,
    /// Whether it takes no new work because an operator said so.
    pub leaving: bool,
    /// Whether it takes no new work because it failed.
    pub ejected: bool,
    /// Mean service time in milliseconds.
    pub service_ms: f64,
}
