//! State of a pool on this VM: its queue, its targets and its ownership.

use {
    settings::Target,
    std::time::Duration,
    steer::{Completion, Grant, Pool},
    tokio::sync::oneshot,
    wire::{Map, Reason},
};

/// Time for which a former owner still dispatches the requests in its queue.
pub(crate) const HANDOVER_PERIOD: Duration = Duration::from_millis(300);
/// Delay between the notification of the former owner and the first dispatch. It
/// covers the handover period and the one-second window of the rate limits.
pub(crate) const TAKEOVER_DELAY: Duration = Duration::from_millis(1500);
/// Time after which a pool is taken over even if the former owner, which appears to
/// be alive, could not be notified.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(5);

/// Key of a pool: its service and its site.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct PoolKey {
    pub(crate) service: String,
    pub(crate) site: String,
}

/// Ownership of a pool by this VM, with the time at which the phase began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ownership {
    /// This VM does not own the pool and has no queue to hand over.
    NotOwned,
    /// This VM is the selected owner; the former owner, if any, has not been notified.
    Pending { since: Duration },
    /// This VM owns the pool.
    Owned { since: Duration },
    /// Another VM has become the owner.
    Lost { since: Duration },
}

/// A pool with its ownership and the requests that wait for a slot on this VM.
pub(crate) struct PoolState {
    pub(crate) pool: Pool,
    /// Position of the site in the fleet settings.
    pub(crate) site_index: usize,
    /// Region of the site.
    pub(crate) region: String,
    pub(crate) targets: Vec<Target>,
    /// VM that owns the pool, if any VM can.
    pub(crate) owner: Option<String>,
    /// VM that would own the pool without this VM; when this VM takes the pool over,
    /// this is the former owner.
    pub(crate) former_owner: Option<String>,
    pub(crate) ownership: Ownership,
    /// Time until which idle connections to a target are not reused, by position of
    /// the target.
    pub(crate) reuse_suspended_until: Map<usize, Duration>,
    /// Senders to the requests in the queue, by ticket.
    pub(crate) waiters: Map<u64, oneshot::Sender<Result<Grant, Reason>>>,
}

impl PoolState {
    /// Creates the pool of a site with its targets; this VM does not own it.
    pub(crate) fn new(site_index: usize, region: &str, targets: Vec<Target>) -> Self {
        let target_slots: Vec<(&str, u32)> = targets
            .iter()
            .map(|target| (target.name.as_str(), target.slots))
            .collect();
        Self {
            pool: Pool::new(region, &target_slots),
            site_index,
            region: region.to_owned(),
            targets,
            owner: None,
            former_owner: None,
            ownership: Ownership::NotOwned,
            reuse_suspended_until: Map::default(),
            waiters: Map::default(),
        }
    }

    /// Total slots of all targets.
    pub(crate) fn slots(&self) -> u32 {
        self.targets.iter().map(|target| target.slots).sum()
    }

    /// Sets the owner and the VM that would own the pool without this VM, and updates
    /// the ownership. The takeover starts again if the former owner changed before
    /// this VM began to admit requests.
    pub(crate) fn set_owner(
        &mut self,
        owner: Option<&str>,
        former_owner: Option<&str>,
        local_vm: &str,
        now: Duration,
    ) {
        let former_changed = former_owner.is_some() && former_owner != self.former_owner.as_deref();
        self.owner = owner.map(str::to_owned);
        self.former_owner = former_owner.map(str::to_owned);
        let is_owner = owner == Some(local_vm);
        if is_owner && former_changed && !self.is_admitting(now) {
            self.restart_takeover(now);
        }
        self.ownership = match self.ownership {
            Ownership::NotOwned | Ownership::Lost { .. } if is_owner => {
                Ownership::Pending { since: now }
            }
            Ownership::Pending { .. } if !is_owner => Ownership::NotOwned,
            Ownership::Owned { .. } if !is_owner => Ownership::Lost { since: now },
            unchanged => unchanged,
        };
    }

    /// Starts the takeover of an owned pool again, for example after the process was
    /// paused.
    pub(crate) fn restart_takeover(&mut self, now: Duration) {
        if matches!(self.ownership, Ownership::Owned { .. }) {
            self.ownership = Ownership::Pending { since: now };
        }
    }

    /// Returns the former owner that must be notified of a pending takeover.
    pub(crate) fn owner_to_notify(&self) -> Option<&str> {
        let is_pending = matches!(self.ownership, Ownership::Pending { .. });
        self.former_owner.as_deref().filter(|_| is_pending)
    }

    /// Completes the takeover if `name` is the former owner that had to be notified.
    pub(crate) fn mark_notified(&mut self, name: &str, now: Duration) {
        if self.owner_to_notify() == Some(name) {
            self.ownership = Ownership::Owned { since: now };
        }
    }

    /// Completes a pending takeover if there is no former owner or its notification
    /// timed out.
    pub(crate) fn complete_overdue_takeover(&mut self, now: Duration) {
        if let Ownership::Pending { since } = self.ownership
            && (self.former_owner.is_none() || now >= since + NOTIFY_TIMEOUT)
        {
            self.ownership = Ownership::Owned { since: now };
        }
    }

    /// Whether new requests may enter the queue: the takeover delay has passed.
    pub(crate) fn is_admitting(&self, now: Duration) -> bool {
        matches!(self.ownership, Ownership::Owned { since } if now >= since + TAKEOVER_DELAY)
    }

    /// Whether waiting requests may be dispatched, which a former owner may do during
    /// the handover period.
    pub(crate) fn is_dispatching(&self, now: Duration) -> bool {
        match self.ownership {
            Ownership::Owned { since } => now >= since + TAKEOVER_DELAY,
            Ownership::Lost { since } => now < since + HANDOVER_PERIOD,
            Ownership::NotOwned | Ownership::Pending { .. } => false,
        }
    }

    /// Grants free slots to waiting requests and rejects those whose wait has expired.
    /// Rejects the whole queue if this VM may not dispatch.
    pub(crate) fn grant_slots(&mut self, now: Duration) {
        if !self.is_dispatching(now) {
            for ticket in self.pool.drain_queue() {
                self.resolve_waiter(ticket, Err(Reason::NotOwner));
            }
            return;
        }
        for ticket in self.pool.remove_expired(now) {
            self.resolve_waiter(ticket, Err(Reason::Overloaded));
        }
        while let Some(grant) = self.pool.grant_next(now) {
            if !self.resolve_waiter(grant.ticket, Ok(grant)) {
                self.pool.release(&grant, Completion::Unused, now);
            }
        }
    }

    /// Sends the result to a waiting request. Returns whether it was still waiting.
    fn resolve_waiter(&mut self, ticket: u64, result: Result<Grant, Reason>) -> bool {
        let waiter = self.waiters.remove(&ticket);
        waiter.is_some_and(|waiter| waiter.send(result).is_ok())
    }
}
