//! A pool on this VM, and whether this VM owns it.

use {
    settings::Target,
    std::time::Duration,
    steer::{Completion, Grant, Pool},
    tokio::sync::oneshot,
    wire::{Map, Reason},
};

/// Time in which a former owner still serves its queue.
pub(crate) const HANDOVER_PERIOD: Duration = Duration::from_millis(300);
/// Time between the former owner's knowing and the first dispatch: its handover,
/// and the sliding second of the caps.
pub(crate) const TAKEOVER_DELAY: Duration = Duration::from_millis(1500);
/// Time after which a pool is taken over although the former owner, which seems
/// to be alive, could not be told.
const NOTIFY_TIMEOUT: Duration = Duration::from_secs(5);

/// Names a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct PoolKey {
    pub(crate) service: String,
    pub(crate) site: String,
}

/// Since when this VM owns a pool, or has lost it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ownership {
    NotOwned,
    /// The former owner, when there is one, has not been told yet.
    Pending {
        since: Duration,
    },
    Owned {
        since: Duration,
    },
    Lost {
        since: Duration,
    },
}

/// A pool with the requests that wait in it on this VM.
pub(crate) struct PoolState {
    pub(crate) pool: Pool,
    /// Position of the site in the fleet settings.
    pub(crate) site_index: usize,
    /// Region of the site.
    pub(crate) region: String,
    pub(crate) targets: Vec<Target>,
    pub(crate) owner: Option<String>,
    /// The VM that would own the pool if this one did not.
    pub(crate) former_owner: Option<String>,
    pub(crate) ownership: Ownership,
    /// Targets whose open connections are not used until a time.
    pub(crate) untrusted_until: Map<usize, Duration>,
    pub(crate) waiters: Map<u64, oneshot::Sender<Result<Grant, Reason>>>,
}

impl PoolState {
    pub(crate) fn new(site_index: usize, region: &str, targets: Vec<Target>) -> Self {
        let named: Vec<(&str, u32)> = targets
            .iter()
            .map(|target| (target.name.as_str(), target.slots))
            .collect();
        Self {
            pool: Pool::new(region, &named),
            site_index,
            region: region.to_owned(),
            targets,
            owner: None,
            former_owner: None,
            ownership: Ownership::NotOwned,
            untrusted_until: Map::default(),
            waiters: Map::default(),
        }
    }

    /// Slots of all targets.
    pub(crate) fn slots(&self) -> u32 {
        self.targets.iter().map(|target| target.slots).sum()
    }

    /// Notes who owns the pool now, and who would if this VM did not.
    pub(crate) fn set_owner(
        &mut self,
        owner: Option<&str>,
        former_owner: Option<&str>,
        me: &str,
        now: Duration,
    ) {
        let another = former_owner.is_some() && former_owner != self.former_owner.as_deref();
        self.owner = owner.map(str::to_owned);
        self.former_owner = former_owner.map(str::to_owned);
        let mine = owner == Some(me);
        if mine && another && !self.is_admitting(now) {
            self.restart_takeover(now);
        }
        self.ownership = match self.ownership {
            Ownership::NotOwned | Ownership::Lost { .. } if mine => {
                Ownership::Pending { since: now }
            }
            Ownership::Pending { .. } if !mine => Ownership::NotOwned,
            Ownership::Owned { .. } if !mine => Ownership::Lost { since: now },
            same => same,
        };
    }

    /// Starts the takeover again, as after a pause of this process.
    pub(crate) fn restart_takeover(&mut self, now: Duration) {
        if matches!(self.ownership, Ownership::Owned { .. }) {
            self.ownership = Ownership::Pending { since: now };
        }
    }

    /// The former owner that has to be told that this VM takes over.
    pub(crate) fn owner_to_notify(&self) -> Option<&str> {
        let claimed = matches!(self.ownership, Ownership::Pending { .. });
        self.former_owner.as_deref().filter(|_| claimed)
    }

    /// Notes that a VM has been told of this one.
    pub(crate) fn mark_notified(&mut self, name: &str, now: Duration) {
        if self.owner_to_notify() == Some(name) {
            self.ownership = Ownership::Owned { since: now };
        }
    }

    /// Takes a pool over that has no former owner, or one that cannot be told.
    pub(crate) fn complete_overdue_takeover(&mut self, now: Duration) {
        if let Ownership::Pending { since } = self.ownership
            && (self.former_owner.is_none() || now >= since + NOTIFY_TIMEOUT)
        {
            self.ownership = Ownership::Owned { since: now };
        }
    }

    /// Whether new requests may enter the queue.
    pub(crate) fn is_admitting(&self, now: Duration) -> bool {
        matches!(self.ownership, Ownership::Owned { since } if now >= since + TAKEOVER_DELAY)
    }

    /// Whether waiting requests may be dispatched.
    pub(crate) fn is_dispatching(&self, now: Duration) -> bool {
        match self.ownership {
            Ownership::Owned { since } => now >= since + TAKEOVER_DELAY,
            Ownership::Lost { since } => now < since + HANDOVER_PERIOD,
            Ownership::NotOwned | Ownership::Pending { .. } => false,
        }
    }

    /// Grants free slots to waiting requests and turns away the late ones.
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

    fn resolve_waiter(&mut self, ticket: u64, result: Result<Grant, Reason>) -> bool {
        let waiter = self.waiters.remove(&ticket);
        waiter.is_some_and(|waiter| waiter.send(result).is_ok())
    }
}
