//! Choosing a target for a request, and accounting for it.

use {
    super::Node,
    balance::{Distance, Sent, sponsors},
    catalog::Target,
    route::{Kind, Route},
    std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration},
};

/// Time there and back within a zone, to another zone of the region, and to another region.
const ROUND_TRIPS: [Duration; 3] = [
    Duration::from_millis(1),
    Duration::from_millis(2),
    Duration::from_millis(40),
];

/// A request on its way through this VM.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    pub(crate) id: String,
    pub(crate) route: Arc<Route>,
    pub(crate) service: String,
    pub(crate) object: Option<String>,
    pub(crate) arrived: Duration,
    /// When the caller or the route gives up.
    pub(crate) deadline: Duration,
    /// Targets that it was sent to.
    pub(crate) tried: Vec<String>,
}

impl Work {
    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.kind == Kind::Idempotent
    }
}

/// A target for a request.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) sent: Sent,
    pub(crate) address: SocketAddr,
    pub(crate) in_flight: InFlight,
}

/// Accounts for a request at a target until it is dropped.
pub(crate) struct InFlight {
    node: Rc<Node>,
    sent: Sent,
}

impl std::fmt::Debug for InFlight {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("InFlight").field(&self.sent.target).finish()
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.node.board.borrow_mut().end(&self.sent);
    }
}

impl Node {
    /// Chooses a target and counts the request there.
    ///
    /// # Errors
    /// The time after which a target is expected to have room.
    pub(crate) fn choose(self: &Rc<Self>, work: &Work) -> Result<Choice, Duration> {
        let now = self.now();
        let elapsed = now.saturating_sub(work.arrived).as_secs_f64();
        let objective = work.route.objective.as_secs_f64() - elapsed;
        let deadline = work.deadline.saturating_sub(now).as_secs_f64();
        let catalog = self.catalog.borrow();
        let sent = self.board.borrow_mut().choose(
            &catalog,
            &work.service,
            (&work.route.name, work.route.objective),
            work.object.as_deref(),
            (objective, deadline),
            |target| self.place(work, target),
            |target| self.cold_bound(target),
            now,
        )?;
        let Some(target) = catalog.get(&sent.target) else {
            return Err(work.route.objective);
        };
        let cold = catalog.is_cold(&target.id, now);
        let bound = self.cold_bound(target).filter(|_| cold);
        self.board.borrow_mut().start(&sent, bound, now);
        Ok(Choice {
            address: target.address,
            in_flight: InFlight {
                node: self.clone(),
                sent: sent.clone(),
            },
            sent,
        })
    }

    /// How far a target is, unless the request may not go there.
    fn place(&self, work: &Work, target: &Target) -> Option<(Distance, Duration)> {
        let region = self.settings.region_of(&target.zone);
        let homes = &work.route.regions;
        let at_home = homes.is_empty() || homes.iter().any(|home| home == region);
        if !at_home || work.tried.contains(&target.id) {
            return None;
        }
        let (distance, round_trip) = if target.zone == self.settings.zone {
            (Distance::Zone, ROUND_TRIPS[0])
        } else if region == self.settings.region {
            (Distance::Region, ROUND_TRIPS[1])
        } else {
            (Distance::Far, ROUND_TRIPS[2])
        };
        Some((distance, round_trip))
    }

    /// Requests a second that a cold target bears from all VMs, if this VM may send it any.
    fn cold_bound(&self, target: &Target) -> Option<f64> {
        let table = self.table();
        let service = table.service(&target.service)?;
        let bounds = &self.settings.bounds;
        let bound = service.warmup_rate * bounds.warmup_factor + bounds.warmup_slack;
        let view = self.view();
        let all = view.all();
        let present = all.iter().filter(|m| m.status != wire::Status::Gone);
        let vms = present.map(|m| (m.name.as_str(), m.zone.as_str()));
        let chosen = sponsors(&target.id, &target.zone, vms);
        chosen
            .contains(&self.settings.name.as_str())
            .then_some(bound)
    }

    /// Service for the next request of a route, by the weights of its parts.
    pub(crate) fn pick_service(&self, route: &Route) -> String {
        if let [only] = route.backends.as_slice() {
            return only.service.clone();
        }
        let mut splits = self.splits.borrow_mut();
        let split = splits.entry(route.name.clone()).or_default();
        let index = split.next(&route.backends);
        route.backends[index].service.clone()
    }

    /// Notes a first send.
    pub(crate) fn note_first(&self, service: &str) {
        let now = self.now();
        let mut retries = self.retries.borrow_mut();
        let retries = retries.entry(service.to_owned()).or_default();
        retries.first(now, &self.settings.bounds.retry);
    }

    /// Takes a retry out of this VM's part of the shared budget.
    pub(crate) fn withdraw_retry(&self, service: &str) -> bool {
        let now = self.now();
        let vms = self.view().all().len();
        let mut retries = self.retries.borrow_mut();
        let retries = retries.entry(service.to_owned()).or_default();
        retries.withdraw(now, &self.settings.bounds.retry, vms)
    }

    /// Whether most of a service's targets still take work, so that one more may be ejected.
    pub(crate) fn may_eject(&self, service: &str) -> bool {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let board = self.board.borrow();
        let all: Vec<bool> = catalog
            .usable(service)
            .map(|target| board.is_ejected(&target.id, now))
            .collect();
        let ejected = all.iter().filter(|ejected| **ejected).count();
        (ejected + 1) * 2 <= all.len()
    }
}
