//! A pool on this VM, and whether this VM owns it.

use {
    settings::Target,
    std::time::Duration,
    steer::{End, Grant, Pool},
    tokio::sync::oneshot,
    wire::{Map, Reason},
};

/// Time between becoming the owner of a pool and the first dispatch. It covers a
/// cap's sliding second and most requests that the last owner still runs.
pub(crate) const TAKEOVER: Duration = Duration::from_millis(1200);
/// Time in which a former owner still serves its queue; shorter than [`TAKEOVER`].
pub(crate) const HANDOVER: Duration = Duration::from_millis(600);

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
    Mine { since: Duration },
    Lost { since: Duration },
}

/// A pool with the requests that wait in it on this VM.
pub(crate) struct Owned {
    pub(crate) pool: Pool,
    pub(crate) targets: Vec<Target>,
    pub(crate) owner: Option<String>,
    pub(crate) ownership: Ownership,
    /// Targets whose open connections are not used until a time.
    pub(crate) distrust: Map<usize, Duration>,
    pub(crate) waiting: Map<u64, oneshot::Sender<Result<Grant, Reason>>>,
}

impl Owned {
    pub(crate) fn new(region: &str, targets: Vec<Target>) -> Self {
        let named: Vec<(&str, u32)> = targets
            .iter()
            .map(|target| (target.name.as_str(), target.slots))
            .collect();
        Self {
            pool: Pool::new(region, &named),
            targets,
            owner: None,
            ownership: Ownership::Never,
            distrust: Map::default(),
            waiting: Map::default(),
        }
    }

    /// Notes who owns the pool now.
    pub(crate) fn set_owner(&mut self, owner: Option<&str>, me: &str, now: Duration) {
        self.owner = owner.map(str::to_owned);
        let mine = owner == Some(me);
        self.ownership = match self.ownership {
            Ownership::Never | Ownership::Lost { .. } if mine => Ownership::Mine { since: now },
            Ownership::Mine { .. } if !mine => Ownership::Lost { since: now },
            same => same,
        };
    }

    /// Starts the takeover again, as after a pause of this process.
    pub(crate) fn restart(&mut self, now: Duration) {
        if matches!(self.ownership, Ownership::Mine { .. }) {
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
            Ownership::Never => false,
        }
    }

    /// Grants free slots to waiting requests and turns away the late ones.
    pub(crate) fn pump(&mut self, now: Duration) {
        if !self.dispatches(now) {
            for ticket in self.pool.drain() {
                self.tell(ticket, Err(Reason::NotOwner));
            }
            return;
        }
        for ticket in self.pool.expire(now) {
            self.tell(ticket, Err(Reason::Overloaded));
        }
        while let Some(grant) = self.pool.grant(now) {
            if !self.tell(grant.ticket, Ok(grant)) {
                self.pool.release(&grant, End::Unused, now);
            }
        }
    }

    fn tell(&mut self, ticket: u64, word: Result<Grant, Reason>) -> bool {
        let waiter = self.waiting.remove(&ticket);
        waiter.is_some_and(|waiter| waiter.send(word).is_ok())
    }
}
