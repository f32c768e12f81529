//! The statements of one response.

use {crate::LoadReport, std::time::Duration};

/// A statement that a response may make.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Field<T> {
    /// The response does not make it.
    #[default]
    Absent,
    /// The response makes it, but the value cannot be read.
    Unreadable,
    /// The response makes it.
    Stated(T),
}

/// What a target states about itself in the head of one response.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Feedback {
    /// Requests at the target.
    pub load: Option<LoadReport>,
    /// How slow the target's machine is at the moment.
    pub slowdown: Option<Slowdown>,
    /// Requests per second that the target accepts from all VMs together; finite and not negative.
    pub rate_limit: Field<f64>,
    /// Time for which the target wants no requests from the VM that it rejected.
    pub rest: Field<Duration>,
    /// Whether the target is about to stop and accepts no new requests.
    pub leaving: Field<bool>,
}

/// How much longer than usual runs take on a target's machine, which it shares with others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowdown {
    /// Running time relative to the usual one; above 0.
    pub factor: f64,
    /// Time since the target stated it.
    pub age: Duration,
}

impl Feedback {
    /// Returns whether the target states a free slot and does not want to rest.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        !self.asks_for_rest() && self.load.is_some_and(LoadReport::has_free_slot)
    }

    /// Returns whether the target rejected the request and wants none for a while. It is neither
    /// full nor failing then.
    #[must_use]
    pub fn asks_for_rest(&self) -> bool {
        matches!(self.rest, Field::Stated(rest) if !rest.is_zero())
    }
}
