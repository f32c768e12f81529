//! Determines which VM owns the queue of each target.
//!
//! Requests for a target go through one VM of its availability zone, selected by rendezvous
//! hashing, for downloads among those with a wide link. The selected VM alone can count the target's
//! requests, so it alone queues further requests in order. See `docs/PLATFORM.md`.

use {
    super::{Node, RequestContext},
    balance::{rendezvous_weight, select_senders, select_wide},
    catalog::Target,
    std::{cell::RefMut, net::SocketAddr, time::Duration},
    wire::{Map, Member},
};

/// Time for which no request is relayed to a VM that was unreachable or did not respond.
pub(crate) const AVOID_TIME: Duration = Duration::from_secs(1);

/// Another VM that owns the queue of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct QueueOwner {
    pub(crate) name: String,
    pub(crate) zone: String,
    /// Address at which other VMs reach it.
    pub(crate) address: SocketAddr,
}

/// How the requests of this VM reach a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Path {
    /// This VM sends them itself.
    Direct,
    /// They are relayed through another VM.
    Through(QueueOwner),
    /// They do not: the only VM that may send them cannot be reached.
    Closed,
}

/// What the elections depend on: the generations of the member view and of the links, and the
/// version of the routes.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
struct Basis {
    members: u64,
    links: u64,
    routes: u64,
}

/// The queue owners by target, cached as long as what they depend on is the same.
#[derive(Debug, Default)]
pub(crate) struct QueueOwners {
    basis: Basis,
    /// By target; `None` if this VM owns the queue or no VM of the zone is alive.
    cached: Map<String, Option<QueueOwner>>,
    /// By target with a rate limit, the path through the only VM that sends to it.
    limited_paths: Map<String, Path>,
    /// By VM name, the time until which no request is relayed to it.
    avoided_until: Map<String, Duration>,
}

impl QueueOwners {
    fn is_avoided(&self, vm_name: &str, now: Duration) -> bool {
        let until = self.avoided_until.get(vm_name);
        until.is_some_and(|until| now < *until)
    }
}

impl Node {
    /// Returns the other VM that owns a target's queue. Returns `None` if this VM owns it, if no
    /// VM of the target's zone is alive or if the owner is avoided after a failure; requests
    /// then go directly to the target.
    pub(crate) fn remote_queue_owner(&self, target: &Target, now: Duration) -> Option<QueueOwner> {
        let mut owners = self.current_queue_owners();
        let cached = owners.cached.get(&target.id).cloned();
        let owner = cached.unwrap_or_else(|| {
            let elected = self.elect_queue_owner(target);
            owners.cached.insert(target.id.clone(), elected.clone());
            elected
        });
        owner.filter(|owner| !owners.is_avoided(&owner.name, now))
    }

    /// Returns another VM that sends requests to a target while this one reaches none: the live VM
    /// with the highest rendezvous weight in the target's zone, then elsewhere. Those that were
    /// unreachable or reached no target themselves are left out for a while, and those of regions in
    /// which the request may not be are left out.
    pub(crate) fn substitute_sender(
        &self,
        request: &RequestContext,
        target: &Target,
        now: Duration,
    ) -> Option<QueueOwner> {
        let view = self.member_view();
        let owners = self.queue_owners.borrow();
        let mut vms = view.serving_members();
        vms.retain(|vm| vm.name != self.settings.name && view.is_alive(&vm.name));
        vms.retain(|vm| !owners.is_avoided(&vm.name, now));
        vms.retain(|vm| self.is_zone_allowed(request, &vm.zone));
        let best = vms.into_iter().max_by_key(|vm| {
            let weight = rendezvous_weight(&target.id, &vm.name);
            (vm.zone == target.zone, weight)
        })?;
        Some(QueueOwner {
            name: best.name.clone(),
            zone: best.zone.clone(),
            address: best.peer.parse().ok()?,
        })
    }

    /// Returns another VM that sends requests to a target if this VM reaches none.
    pub(crate) fn substitute_for(
        &self,
        request: &RequestContext,
        target: &str,
    ) -> Option<QueueOwner> {
        let catalog = self.catalog.borrow();
        let target = catalog.get(target).filter(|_| self.is_cut_off())?;
        self.substitute_sender(request, target, self.now())
    }

    /// Returns how requests reach a target with a rate limit: through one VM, which keeps the limit
    /// for all. That is the owner of the target's queue, or any VM if none of the zone is alive. A
    /// request that may not be in the region of that VM does not reach the target.
    pub(crate) fn limited_path(
        &self,
        request: &RequestContext,
        target: &Target,
        now: Duration,
    ) -> Path {
        let mut owners = self.current_queue_owners();
        let cached = owners.limited_paths.get(&target.id).cloned();
        let path = cached.unwrap_or_else(|| {
            let elected = self.elect_sender(target);
            owners
                .limited_paths
                .insert(target.id.clone(), elected.clone());
            elected
        });
        match path {
            Path::Through(owner) if owners.is_avoided(&owner.name, now) => Path::Closed,
            Path::Through(owner) if !self.is_zone_allowed(request, &owner.zone) => Path::Closed,
            path => path,
        }
    }

    /// Borrows the queue owners, without those that were elected on another basis.
    fn current_queue_owners(&self) -> RefMut<'_, QueueOwners> {
        let mut owners = self.queue_owners.borrow_mut();
        let basis = Basis {
            members: self.member_view().generation(),
            links: self.links.borrow().generation(),
            routes: self.route_table().version(),
        };
        if owners.basis != basis {
            owners.basis = basis;
            owners.cached.clear();
            owners.limited_paths.clear();
        }
        owners
    }

    /// Selects the only VM that may send to a target with a rate limit.
    fn elect_sender(&self, target: &Target) -> Path {
        let view = self.member_view();
        let mut vms = view.serving_members();
        vms.retain(|vm| view.is_alive(&vm.name));
        let names = vms.iter().map(|vm| (vm.name.as_str(), vm.zone.as_str()));
        let elected = select_senders(&target.id, &target.zone, names, 1);
        let Some(elected) = vms.iter().find(|vm| elected.contains(&vm.name.as_str())) else {
            return Path::Closed;
        };
        if elected.name == self.settings.name {
            return Path::Direct;
        }
        let address = elected.peer.parse();
        address.map_or(Path::Closed, |address| {
            Path::Through(QueueOwner {
                name: elected.name.clone(),
                zone: elected.zone.clone(),
                address,
            })
        })
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

    /// Selects the live VM of the target's zone with the highest rendezvous weight, for downloads
    /// among those with a wide link. Returns `None` if that is this VM.
    fn elect_queue_owner(&self, target: &Target) -> Option<QueueOwner> {
        let view = self.member_view();
        let mut vms = view.serving_members();
        vms.retain(|vm| vm.zone == target.zone && view.is_alive(&vm.name));
        self.retain_wide_links(target, &mut vms);
        let elected = vms
            .into_iter()
            .max_by_key(|vm| rendezvous_weight(&target.id, &vm.name))?;
        let address = elected.peer.parse().ok()?;
        (elected.name != self.settings.name).then(|| QueueOwner {
            name: elected.name.clone(),
            zone: elected.zone.clone(),
            address,
        })
    }

    /// Leaves out the VMs of the target's zone with a narrow link, if the target serves downloads: a
    /// large response passes the link of the queue's owner on its way.
    fn retain_wide_links(&self, target: &Target, vms: &mut Vec<&Member>) {
        if !self.route_table().serves_downloads(&target.service) {
            return;
        }
        let links = self.links.borrow();
        let near = vms.iter().filter(|vm| vm.zone == target.zone);
        let rates = near.map(|vm| (vm.name.as_str(), links.rate(&vm.name)));
        let wide = select_wide(rates);
        vms.retain(|vm| vm.zone != target.zone || wide.contains(&vm.name.as_str()));
    }
}
