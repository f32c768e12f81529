//! Choosing a target for a request, and accounting for it.

use {
    super::{Keeper, Node},
    balance::{Decision, Distance, Place, Sent, Turn, Wish, sponsors},
    catalog::{Catalog, Target},
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
    /// How long before that its caller asked first.
    pub(crate) asked_before: Duration,
    /// When the caller or the route gives up.
    pub(crate) deadline: Duration,
    /// Its place among the requests that wait.
    pub(crate) turn: Turn,
    /// Targets that it was sent to.
    pub(crate) tried: Vec<String>,
    /// The target that it is to go to, where another VM chose that.
    pub(crate) only: Option<Only>,
}

/// A target that another VM chose.
#[derive(Debug, Clone)]
pub(crate) struct Only {
    pub(crate) target: String,
    /// Whether it is the first in the order of the object.
    pub(crate) first: bool,
}

impl Work {
    fn wish(&self, now: Duration) -> Wish<'_> {
        Wish {
            route: &self.route.name,
            service: &self.service,
            objective: self.route.objective,
            object: self.object.as_deref(),
            id: &self.id,
            turn: self.turn,
            waited: now.saturating_sub(self.arrived) + self.asked_before,
            waited_here: now.saturating_sub(self.arrived),
            left: self.deadline.saturating_sub(now),
        }
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.kind == Kind::Idempotent
    }
}

/// What becomes of a request now.
pub(crate) enum Step {
    /// It goes to a target.
    Send(Box<Choice>),
    /// It waits for a target.
    Wait { target: String },
    /// It is refused, with the time after which to come back.
    Refuse { after: Duration },
}

/// A target for a request.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) sent: Sent,
    pub(crate) address: SocketAddr,
    /// The VM through which the request goes.
    pub(crate) keeper: Option<Keeper>,
    _in_flight: InFlight,
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
        self.node.freed.notify_waiters();
    }
}

/// Holds a request's place in a target's queue until it is dropped.
pub(crate) struct Waiting {
    node: Rc<Node>,
    target: String,
    turn: Turn,
}

impl Waiting {
    pub(crate) fn enter(node: &Rc<Node>, target: String, turn: Turn) -> Self {
        node.board.borrow_mut().queues.enter(&target, turn);
        Self {
            node: node.clone(),
            target,
            turn,
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut board = self.node.board.borrow_mut();
        board.queues.leave(&self.target, self.turn);
    }
}

impl Node {
    /// Decides where a request goes now; a request that goes is counted at its target.
    pub(crate) fn choose(self: &Rc<Self>, work: &Work) -> Step {
        let now = self.now();
        let catalog = self.catalog.borrow();
        let places = self.places(work, &catalog, now);
        let wish = work.wish(now);
        let decision = self.board.borrow_mut().choose(&wish, &places, now);
        let sent = match decision {
            Decision::Send(sent) => sent,
            Decision::Wait { target } => return Step::Wait { target },
            Decision::Refuse { after } => return Step::Refuse { after },
        };
        let Some(target) = catalog.get(&sent.target) else {
            return Step::Refuse {
                after: work.route.objective,
            };
        };
        let cold = catalog.is_cold(&target.id, now);
        let bound = self.cold_bound(target).filter(|_| cold);
        self.board.borrow_mut().start(&sent, bound, now);
        Step::Send(Box::new(Choice {
            address: target.address,
            keeper: self.keeper_for(work, target, cold, now),
            _in_flight: InFlight {
                node: self.clone(),
                sent: sent.clone(),
            },
            sent,
        }))
    }

    /// Targets that may run a request now.
    fn places<'a>(&self, work: &'a Work, catalog: &'a Catalog, now: Duration) -> Vec<Place<'a>> {
        let mut places = Vec::new();
        for target in catalog.usable(&work.service) {
            let cold = catalog.is_cold(&target.id, now);
            let keeper = self.keeper_for(work, target, cold, now);
            let Some((distance, round_trip)) = self.place(work, target, keeper.as_ref()) else {
                continue;
            };
            let out = self.board.borrow().is_ejected(&target.id, now);
            if !out && (!cold || self.ramp_fits(target, now)) {
                places.push(Place {
                    target,
                    distance,
                    round_trip,
                    cold,
                    kept: keeper.is_some(),
                    strange: work.only.as_ref().is_some_and(|only| !only.first),
                });
            }
        }
        places
    }

    /// The VM through which a request goes to a target. Cold targets get theirs from their
    /// sponsors directly.
    fn keeper_for(
        &self,
        work: &Work,
        target: &Target,
        cold: bool,
        now: Duration,
    ) -> Option<Keeper> {
        if work.only.is_some() || cold {
            return None;
        }
        self.keeper(target, now)
    }

    fn ramp_fits(&self, target: &Target, now: Duration) -> bool {
        let bound = self.cold_bound(target);
        let mut board = self.board.borrow_mut();
        bound.is_some_and(|bound| board.ramp.fits(&target.id, bound, now))
    }

    /// Leaves half of a target's connections to requests under way.
    pub(crate) fn share_connections(&self) {
        let table = self.table();
        let least = table
            .services()
            .map(|service| service.max_connections)
            .min();
        let least = usize::try_from(least.unwrap_or(u32::MAX)).unwrap_or(usize::MAX);
        let vms = self.view().serving().len().max(1);
        self.client.set_idle_limit(least / 2 / vms);
    }

    /// How far a target is, unless the request may not go there.
    fn place(
        &self,
        work: &Work,
        target: &Target,
        keeper: Option<&Keeper>,
    ) -> Option<(Distance, Duration)> {
        let region = self.settings.region_of(&target.zone);
        let homes = &work.route.regions;
        let at_home = homes.is_empty() || homes.iter().any(|home| home == region);
        let other = work
            .only
            .as_ref()
            .is_some_and(|only| only.target != target.id);
        if other || !at_home || work.tried.contains(&target.id) {
            return None;
        }
        let (distance, round_trip) = self.distance(target, keeper);
        // A connection of its own to the target costs one more.
        let alone = keeper.is_none() && !work.is_idempotent();
        let trips = if alone { 2 } else { 1 };
        Some((distance, round_trip * trips))
    }

    /// How far a target is, and the time there and back by the connections made to it.
    fn distance(&self, target: &Target, keeper: Option<&Keeper>) -> (Distance, Duration) {
        let (distance, assumed) = if target.zone == self.settings.zone {
            (Distance::Zone, ROUND_TRIPS[0])
        } else if self.settings.region_of(&target.zone) == self.settings.region {
            (Distance::Region, ROUND_TRIPS[1])
        } else {
            (Distance::Far, ROUND_TRIPS[2])
        };
        let address = keeper.map_or(target.address, |keeper| keeper.address);
        let measured = self.client.round_trip(address);
        (distance, measured.unwrap_or(assumed))
    }

    /// Requests a second that a cold target bears from all VMs, if this VM may send it any.
    fn cold_bound(&self, target: &Target) -> Option<f64> {
        let table = self.table();
        let service = table.service(&target.service)?;
        let bounds = self.bounds();
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

    /// The next place among the requests that wait.
    pub(crate) fn next_turn(&self, route: &Route, late: bool) -> Turn {
        let number = self.turns.get();
        self.turns.set(number + 1);
        Turn {
            priority: route.priority,
            late,
            number,
        }
    }

    /// Notes a request that a caller sent.
    pub(crate) fn note_offered(&self, work: &Work) {
        self.board.borrow_mut().offered(&work.wish(self.now()));
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
        retries.first(now, &self.bounds().retry);
    }

    /// Takes a retry out of this VM's part of the shared budget.
    pub(crate) fn withdraw_retry(&self, service: &str) -> bool {
        let now = self.now();
        let vms = self.view().all().len();
        let mut retries = self.retries.borrow_mut();
        let retries = retries.entry(service.to_owned()).or_default();
        retries.withdraw(now, &self.bounds().retry, vms)
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
