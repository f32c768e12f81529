//! Which VM keeps the queue of each target.
//!
//! Requests for a target go through one VM of its availability zone, which alone knows how
//! many are there and lets the others wait in order. See `docs/PLATFORM.md`.

use {
    super::Node,
    balance::rendezvous_weight,
    catalog::Target,
    std::{net::SocketAddr, time::Duration},
    wire::Map,
};

/// A VM that could not be reached or said nothing is not asked again for this time.
const AVOID: Duration = Duration::from_secs(1);

/// Another VM that keeps a target's queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct QueueOwner {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

/// Keepers by target, for one view of the VMs.
#[derive(Debug, Default)]
pub(crate) struct QueueOwners {
    generation: u64,
    known: Map<String, Option<QueueOwner>>,
    avoided: Map<String, Duration>,
}

impl Node {
    /// The VM that keeps a target's queue, unless it is this one or there is none.
    pub(crate) fn keeper(&self, target: &Target, now: Duration) -> Option<QueueOwner> {
        let mut keepers = self.queue_owners.borrow_mut();
        let generation = self.member_view().generation();
        if keepers.generation != generation {
            keepers.generation = generation;
            keepers.known.clear();
        }
        let known = keepers.known.get(&target.id).cloned();
        let keeper = known.unwrap_or_else(|| {
            let found = self.find_keeper(target);
            keepers.known.insert(target.id.clone(), found.clone());
            found
        });
        let avoided = keeper.as_ref().and_then(|k| keepers.avoided.get(&k.name));
        keeper.filter(|_| avoided.is_none_or(|until| now >= *until))
    }

    /// Does without a VM for a while.
    pub(crate) fn avoid_queue_owner(&self, keeper: &QueueOwner, now: Duration) {
        self.client.close_idle(keeper.address);
        let mut keepers = self.queue_owners.borrow_mut();
        keepers.avoided.retain(|_, until| now < *until);
        let until = now + AVOID;
        keepers.avoided.insert(keeper.name.clone(), until);
    }

    fn find_keeper(&self, target: &Target) -> Option<QueueOwner> {
        let view = self.member_view();
        let mut vms = view.serving();
        vms.retain(|vm| vm.zone == target.zone && view.is_alive(&vm.name));
        let first = vms
            .into_iter()
            .max_by_key(|vm| rendezvous_weight(&target.id, &vm.name))?;
        let address = first.peer.parse().ok()?;
        (first.name != self.settings.name).then(|| QueueOwner {
            name: first.name.clone(),
            address,
        })
    }
}
