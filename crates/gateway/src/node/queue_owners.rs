//! Determines which VM owns the queue of each target.
//!
//! Requests for a target go through one VM of its availability zone, selected by rendezvous
//! hashing. The selected VM alone can count the target's requests, so it alone queues further
//! requests in order. See `docs/PLATFORM.md`.

use {
    super::Node,
    balance::rendezvous_weight,
    catalog::Target,
    std::{net::SocketAddr, time::Duration},
    wire::Map,
};

/// Time for which no request is relayed to a VM that was unreachable or did not respond.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Another VM that owns the queue of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct QueueOwner {
    pub(crate) name: String,
    /// Address at which other VMs reach it.
    pub(crate) address: SocketAddr,
}

/// The queue owners by target, cached for one generation of the member view.
#[derive(Debug, Default)]
pub(crate) struct QueueOwners {
    generation: u64,
    /// By target; `None` if this VM owns the queue or no VM of the zone is alive.
    cached: Map<String, Option<QueueOwner>>,
    /// By VM name, the time until which no request is relayed to it.
    avoided_until: Map<String, Duration>,
}

impl Node {
    /// Returns the other VM that owns a target's queue. Returns `None` if this VM owns it, if no
    /// VM of the target's zone is alive or if the owner is avoided after a failure; requests
    /// then go directly to the target.
    pub(crate) fn remote_queue_owner(&self, target: &Target, now: Duration) -> Option<QueueOwner> {
        let mut owners = self.queue_owners.borrow_mut();
        let generation = self.member_view().generation();
        if owners.generation != generation {
            owners.generation = generation;
            owners.cached.clear();
        }
        let cached = owners.cached.get(&target.id).cloned();
        let owner = cached.unwrap_or_else(|| {
            let elected = self.elect_queue_owner(target);
            owners.cached.insert(target.id.clone(), elected.clone());
            elected
        });
        let avoided_until = owner
            .as_ref()
            .and_then(|owner| owners.avoided_until.get(&owner.name));
        owner.filter(|_| avoided_until.is_none_or(|until| now >= *until))
    }

    /// Stops relaying requests to a queue owner for [`AVOID_TIME`] and closes the idle
    /// connections to it.
    pub(crate) fn avoid_queue_owner(&self, owner: &QueueOwner, now: Duration) {
        self.client.close_idle(owner.address);
        let mut owners = self.queue_owners.borrow_mut();
        owners.avoided_until.retain(|_, until| now < *until);
        let until = now + AVOID_TIME;
        owners.avoided_until.insert(owner.name.clone(), until);
    }

    /// Selects the live VM of the target's zone with the highest rendezvous weight. Returns
    /// `None` if that is this VM.
    fn elect_queue_owner(&self, target: &Target) -> Option<QueueOwner> {
        let view = self.member_view();
        let mut vms = view.serving_members();
        vms.retain(|vm| vm.zone == target.zone && view.is_alive(&vm.name));
        let elected = vms
            .into_iter()
            .max_by_key(|vm| rendezvous_weight(&target.id, &vm.name))?;
        let address = elected.peer.parse().ok()?;
        (elected.name != self.settings.name).then(|| QueueOwner {
            name: elected.name.clone(),
            address,
        })
    }
}
