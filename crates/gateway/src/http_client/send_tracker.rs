//! Whether a request may be at a target, which decides what becomes of it when its caller leaves.

use {
    std::{cell::Cell, rc::Rc},
    tokio::sync::Notify,
};

/// Follows one request over all its attempts. Clones follow the same request.
///
/// Until a request is sent to a target nothing is lost by dropping it, whatever its route; see
/// docs/PLATFORM.md, "Callers that leave".
#[derive(Debug, Clone, Default)]
pub(crate) struct SendTracker(Rc<State>);

#[derive(Debug, Default)]
struct State {
    /// Number of exchanges with targets in progress.
    at_targets: Cell<u32>,
    /// Set once an exchange ended of which it is not known that no target ran the request.
    may_have_run: Cell<bool>,
    has_caller_left: Cell<bool>,
    /// Notified when one of them changes.
    changed: Notify,
}

/// Whom a request is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Receiver {
    Target,
    /// The VM that owns the queue of its target. It drops the request when its connection closes, as
    /// long as no target has it.
    Vm,
}

impl SendTracker {
    /// Records that the request is about to be sent, until the result is dropped.
    pub(super) fn begin(&self, receiver: Receiver) -> Transmission {
        if receiver == Receiver::Target {
            self.0.at_targets.set(self.0.at_targets.get() + 1);
        }
        Transmission {
            tracker: self.clone(),
            receiver,
            is_refused: false,
        }
    }

    /// Returns whether an exchange with a target is in progress.
    pub(crate) fn is_at_target(&self) -> bool {
        self.0.at_targets.get() > 0
    }

    /// Returns whether a target may have run the request in an exchange that has ended.
    pub(crate) fn may_have_run(&self) -> bool {
        self.0.may_have_run.get()
    }

    /// Records that nobody waits for the response any more.
    pub(crate) fn record_caller_left(&self) {
        self.0.has_caller_left.set(true);
        self.0.changed.notify_waiters();
    }

    /// Completes when the caller has left and the request is not at a target.
    pub(crate) async fn abandoned(&self) {
        loop {
            let changed = self.0.changed.notified();
            if self.0.has_caller_left.get() && !self.is_at_target() {
                return;
            }
            changed.await;
        }
    }
}

/// A request on its way to a receiver, or being run there.
#[derive(Debug)]
pub(super) struct Transmission {
    tracker: SendTracker,
    receiver: Receiver,
    is_refused: bool,
}

impl Transmission {
    /// Records that no target ran the request.
    pub(super) fn record_not_run(&mut self) {
        self.is_refused = true;
    }
}

impl Drop for Transmission {
    fn drop(&mut self) {
        let state = &self.tracker.0;
        if !self.is_refused {
            state.may_have_run.set(true);
        }
        if self.receiver == Receiver::Target {
            state.at_targets.set(state.at_targets.get() - 1);
        }
        state.changed.notify_waiters();
    }
}
