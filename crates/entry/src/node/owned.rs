//! A pool on this VM, and whether this VM owns it.

use {
    settings::Target,
    std::time::Duration,
    steer::{Completion, Grant, Pool},
    tokio::sync::oneshot,
    wire::{Map, Reason},
};

/// Time in which a former owner still serves its queue.
pub(crate) const HANDOVER: Duration = Duration::from_millis(300);
/// Time between the former owner's knowing and the first dispatch: its handover,
/// and the sliding second of the caps.
pub(crate) const TAKEOVER: Duration = Duration::from_millis(1500);
/// Time after which a pool is taken over although the former owner, which seems
/// to be alive, could not be told.
const CONFIRM_LIMIT: Duration = Duration::from_secs(5);

/// Names a pool.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) struct PoolKey {
    pub(crate) service: String,
    pub(crate) site: String,
}

/// Since when this VM owns a pool, or has lost it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ownership {
    Never,
    /// The former owner, when there is one, has not been told yet.
    Pending {
        since: Duration,
    },
    Mine {
        since: Duration,
    },
    Lost {
        since: Duration,
    },
}

/// A pool with the requests that wait in it on this VM.
pub(crate) struct Owned {
    pub(crate) pool: Pool,
    /// Position of the site in the fleet settings.
    pub(crate) site: usize,
    /// Region of the site.
    pub(crate) region: String,
    pub(crate) targets: Vec<Target>,
    pub(crate) owner: Option<String>,
    /// The VM that would own the pool if this one did not.
    pub(crate) former: Option<String>,
    pub(crate) ownership: Ownership,
    /// Targets whose open connections are not used until a time.
    pub(crate) distrust: Map<usize, Duration>,
    pub(crate) waiting: Map<u64, oneshot::Sender<Result<Grant, Reason>>>,
}

impl Owned {
    pub(crate) fn new(site: usize, region: &str, targets: Vec<Target>) -> Self {
        let named: Vec<(&str, u32)> = targets
            .iter()
            .map(|target| (target.name.as_str(), target.slots))
            .collect();
        Self {
            pool: Pool::new(region, &named),
            site,
            region: region.to_owned(),
            targets,
            owner: None,
            former: None,
            ownership: Ownership::Never,
            distrust: Map::default(),
            waiting: Map::default(),
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
        former: Option<&str>,
        me: &str,
        now: Duration,
    ) {
        let another = former.is_some() && former != self.former.as_deref();
        self.owner = owner.map(str::to_owned);
        self.former = former.map(str::to_owned);
        let mine = owner == Some(me);
        if mine && another && !self.admits(now) {
            self.restart(now);
        }
        self.ownership = match self.ownership {
            Ownership::Never | Ownership::Lost { .. } if mine => Ownership::Pending { since: now },
            Ownership::Pending { .. } if !mine => Ownership::Never,
            Ownership::Mine { .. } if !mine => Ownership::Lost { since: now },
            same => same,
        };
    }

    /// Starts the takeover again, as after a pause of this process.
    pub(crate) fn restart(&mut self, now: Duration) {
        if matches!(self.ownership, Ownership::Mine { .. }) {
            self.ownership = Ownership::Pending { since: now };
        }
    }

    /// The former owner that has to be told that this VM takes over.
    pub(crate) fn to_notify(&self) -> Option<&str> {
        let claimed = matches!(self.ownership, Ownership::Pending { .. });
        self.former.as_deref().filter(|_| claimed)
    }

    /// Notes that a VM has been told of this one.
    pub(crate) fn notified(&mut self, name: &str, now: Duration) {
        if self.to_notify() == Some(name) {
            self.ownership = Ownership::Mine { since: now };
        }
    }

    /// Takes a pool over that has no former owner, or one that cannot be told.
    pub(crate) fn take_over_overdue(&mut self, now: Duration) {
        if let Ownership::Pending { since } = self.ownership
            && (self.former.is_none() || now >= since + CONFIRM_LIMIT)
        {
            self.ownership = Ownership::Mine { since: now };
        }
    }

    /// Whether new requests may enter the queue.
    pub(crate) fn admits(&self, now: Duration) -> bool {
        matches!(self.ownership, Ownership::Mine { since } if now >= since + TAKEOVER)
    }

    /// Whether waiting requests may be dispatched.
    pub(crate) fn dispatches(&self, now: Duration) -> bool {
        match self.ownership {
            Ownership::Mine { since } => now >= since + TAKEOVER,
            Ownership::Lost { since } => now < since + HANDOVER,
            Ownership::Never | Ownership::Pending { .. } => false,
        }
    }

    /// Grants free slots to waiting requests and turns away the late ones.
    pub(crate) fn grant_waiting(&mut self, now: Duration) {
        if !self.dispatches(now) {
            for ticket in self.pool.drain_queue() {
                self.answer(ticket, Err(Reason::NotOwner));
            }
            return;
        }
        for ticket in self.pool.remove_expired(now) {
            self.answer(ticket, Err(Reason::Overloaded));
        }
        while let Some(grant) = self.pool.grant_next(now) {
            if !self.answer(grant.ticket, Ok(grant)) {
                self.pool.release(&grant, Completion::Unused, now);
            }
        }
    }

    fn answer(&mut self, ticket: u64, word: Result<Grant, Reason>) -> bool {
        let waiter = self.waiting.remove(&ticket);
        waiter.is_some_and(|waiter| waiter.send(word).is_ok())
    }
}
