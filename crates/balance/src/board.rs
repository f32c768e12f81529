//! Everything that a VM has learned about targets, and the decisions made from it.

use {
    crate::{
        Ask, Belief, Candidate, Distance, Gauge, Policy, Queues, Ramp, Report, Times, Turn,
        Urgency, Verdict, Warmth, choose, weight,
    },
    catalog::Target,
    std::time::Duration,
    wire::Map,
};

/// Requests that a target in another region may have beyond its slots, so that a slot
/// does not stay empty for the time there and back.
const FAR_EXTRA: f64 = 1.0;

/// How much less an object prefers a target of another region, of a weight between 0 and 1,
/// for each part of its objective that the way there and back takes.
const FAR_HANDICAP: f64 = 1.0;
/// Targets that an object may go to.
const HOMES: usize = 2;
/// A handicap that no weight makes up for.
const NEVER: f64 = 2.0;
/// Part of its slots up to which a target takes objects that it does not know: these run
/// long and drive out what it knows, so they go only where there is room to spare.
const STRANGER_PART: f64 = 0.5;
/// Part of the objective in which another region has to answer, for work to move there.
const FAR_PART: f64 = 0.6;

/// A request that looks for a target.
#[derive(Debug, Clone, Copy)]
pub struct Wish<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Service that is to run it.
    pub service: &'a str,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Object that it concerns, if it says.
    pub object: Option<&'a str>,
    /// Identifier of the request, which stands in for the object.
    pub id: &'a str,
    /// Its place among those that wait.
    pub turn: Turn,
    /// Time since its caller asked first.
    pub waited: Duration,
    /// Time since it arrived here.
    pub waited_here: Duration,
    /// Time until it ends without an answer.
    pub left: Duration,
}

/// A target that the request may go to.
#[derive(Debug, Clone, Copy)]
pub struct Place<'a> {
    /// The target.
    pub target: &'a Target,
    /// How far it is.
    pub distance: Distance,
    /// Time there and back.
    pub round_trip: Duration,
    /// Whether it has just started.
    pub cold: bool,
    /// Whether another VM keeps its queue, and decides who waits for it.
    pub kept: bool,
    /// Whether the object prefers another target that is not offered.
    pub strange: bool,
}

/// A request that is at a target.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Identifier of the target.
    pub target: String,
    /// Name of the route.
    pub route: String,
    /// How far the target is.
    pub distance: Distance,
    /// Object that the request concerns, if it says.
    pub object: Option<String>,
    /// When it was sent.
    pub at: Duration,
    /// What was believed of the target and the object.
    pub belief: Belief,
    /// Requests that were taken to be at the target.
    pub ahead: f64,
    /// Requests that the target runs at a time.
    pub slots: f64,
    /// Time there and back.
    pub round_trip: Duration,
}

/// What becomes of a request now.
#[derive(Debug, Clone)]
pub enum Decision {
    /// It goes to a target.
    Send(Sent),
    /// It waits for a target.
    Wait {
        /// Identifier of the target.
        target: String,
    },
    /// It is refused.
    Refuse {
        /// When a target is expected to have room.
        after: Duration,
    },
}

/// What is known of targets and routes.
#[derive(Debug, Clone, Default)]
pub struct Board {
    /// Weights of the decisions.
    pub policy: Policy,
    /// Rates of cold targets.
    pub ramp: Ramp,
    /// Requests that wait for targets.
    pub queues: Queues,
    /// How much of each service's work is urgent.
    pub urgency: Urgency,
    gauges: Map<String, Gauge>,
    warmth: Warmth,
    times: Map<String, Times>,
}

impl Board {
    /// Decides where a request goes.
    pub fn choose(&mut self, wish: &Wish<'_>, places: &[Place<'_>], now: Duration) -> Decision {
        let candidates = self.candidates(wish, places, now);
        let times = self.times(wish.route, wish.objective);
        let ask = Ask {
            warm_s: times.expect(Belief::Known),
            cold_s: times.expect(Belief::Unknown),
            waited_s: wish.waited.as_secs_f64(),
            waited_here_s: wish.waited_here.as_secs_f64(),
            objective_s: wish.objective.as_secs_f64(),
            deadline_left_s: wish.left.as_secs_f64(),
        };
        match choose(&ask, &candidates, &self.policy) {
            Verdict::Refuse { after } => Decision::Refuse { after },
            Verdict::Wait(index) => Decision::Wait {
                target: candidates[index].id.to_owned(),
            },
            Verdict::Send(index) => Decision::Send(sent(wish, &candidates[index], now)),
        }
    }

    /// How long ago the caller of a request that has just arrived asked first, by the time
    /// that it grants, and whether its objective is missed for that.
    pub fn asked_before(
        &mut self,
        route: &str,
        objective: Duration,
        granted: Duration,
    ) -> (Duration, bool) {
        let times = self.times(route, objective);
        let before = times.asked_before(granted);
        let late = before.as_secs_f64() + times.short() > objective.as_secs_f64();
        (before, late)
    }

    /// Notes a request that a caller sent.
    pub fn offered(&mut self, wish: &Wish<'_>) {
        self.urgency.note(wish.service, wish.turn.priority);
    }

    fn candidates<'a>(
        &self,
        wish: &Wish<'_>,
        places: &[Place<'a>],
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let key = wish.object.unwrap_or(wish.id);
        let has_near = places.iter().any(|place| place.distance != Distance::Far);
        let handicap = if has_near {
            self.handicap(wish, places)
        } else {
            0.0
        };
        let mut order: Vec<(f64, &Place<'a>)> = Vec::with_capacity(places.len());
        for place in places {
            order.push((preference(key, place, handicap), place));
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        let leaves = order
            .first()
            .is_some_and(|(_, first)| first.distance == Distance::Far);
        let mut out = Vec::with_capacity(places.len());
        for (rank, (_, place)) in order.into_iter().enumerate() {
            let is_far = place.distance == Distance::Far;
            // An object leaves its region by its order, not by the need of the moment.
            if (leaves || !is_far) && out.len() < HOMES {
                out.push(self.candidate(wish, place, leaves == is_far, rank, now));
            }
        }
        out
    }

    /// What another region costs an object. Work that would only be late there stays: it is
    /// no relief for this one.
    fn handicap(&self, wish: &Wish<'_>, places: &[Place<'_>]) -> f64 {
        let far = places
            .iter()
            .filter(|place| place.distance == Distance::Far);
        let Some(nearest) = far.map(|place| place.round_trip).min() else {
            return NEVER;
        };
        let way = nearest.as_secs_f64();
        let objective = wish.objective.as_secs_f64();
        let warm_s = self.times.get(wish.route).map_or(0.0, Times::short);
        if way + warm_s < FAR_PART * objective {
            FAR_HANDICAP * way / objective
        } else {
            NEVER
        }
    }

    fn candidate<'a>(
        &self,
        wish: &Wish<'_>,
        place: &Place<'a>,
        at_home: bool,
        rank: usize,
        now: Duration,
    ) -> Candidate<'a> {
        let target = place.target;
        let gauge = self.gauges.get(&target.id);
        let slots = f64::from(target.slots);
        let far = if place.distance == Distance::Far {
            FAR_EXTRA
        } else {
            0.0
        };
        let reserved = self
            .urgency
            .reserve(wish.service, wish.turn.priority, target.slots);
        let first = rank == 0 && at_home && !place.strange;
        let queued = to_f64(self.queues.ahead(&target.id, wish.turn));
        let belief = self.belief(wish, &target.id, first);
        let most = if place.kept {
            f64::INFINITY
        } else if belief == Belief::Unknown {
            slots * STRANGER_PART
        } else {
            slots + far
        };
        Candidate {
            id: &target.id,
            limit: most - reserved,
            slots,
            ahead: gauge.map_or(0.0, |gauge| gauge.in_flight(now)) + queued,
            distance: place.distance,
            at_home,
            round_trip_s: place.round_trip.as_secs_f64(),
            rank: if wish.object.is_some() { rank } else { 0 },
            belief,
            cold: place.cold,
            slowness: gauge.map_or(1.0, Gauge::slowness),
            trouble: gauge.map_or(0.0, |gauge| gauge.trouble(now)),
        }
    }

    fn belief(&self, wish: &Wish<'_>, target: &str, first: bool) -> Belief {
        match wish.object {
            None => Belief::Known,
            Some(object) if self.warmth.holds(target, wish.route, object) => Belief::Known,
            Some(_) if first => Belief::Likely,
            Some(_) => Belief::Unknown,
        }
    }

    fn times(&mut self, route: &str, objective: Duration) -> &mut Times {
        let times = self.times.entry(route.to_owned());
        times.or_insert_with(|| Times::new(objective))
    }

    /// Notes that a request goes to its target.
    pub fn start(&mut self, sent: &Sent, cold_bound: Option<f64>, now: Duration) {
        self.gauge(&sent.target).own += 1;
        if let Some(bound) = cold_bound {
            self.ramp.record(&sent.target, bound, now);
        }
    }

    /// Notes that a request is no longer at its target.
    pub fn end(&mut self, sent: &Sent) {
        let gauge = self.gauge(&sent.target);
        gauge.own = gauge.own.saturating_sub(1);
    }

    /// Learns from an answer.
    pub fn answered(&mut self, sent: &Sent, report: Option<Report>, now: Duration) {
        let ran = now.saturating_sub(sent.at).saturating_sub(sent.round_trip);
        let gauge = self.gauges.entry(sent.target.clone()).or_default();
        gauge.health.succeed();
        gauge.note_trouble(false, now);
        gauge.note_stay(ran.as_secs_f64());
        if let Some(report) = report {
            gauge.report(report, now);
        }
        if let Some(object) = &sent.object {
            self.warmth.note(&sent.target, &sent.route, object);
        }
        let waited = sent.ahead >= sent.slots || report.is_some_and(|report| report.waiting > 0);
        let Some(times) = self.times.get_mut(&sent.route) else {
            return;
        };
        if !waited {
            if sent.belief == Belief::Known {
                gauge.note_time(ran.as_secs_f64(), times.expect(sent.belief));
            }
            times.note(sent.belief, ran);
        }
    }

    /// Learns from an answer that came through the VM that keeps the target's queue.
    pub fn relayed(
        &mut self,
        sent: &Sent,
        report: Option<Report>,
        ran: Option<Duration>,
        now: Duration,
    ) {
        let gauge = self.gauges.entry(sent.target.clone()).or_default();
        gauge.health.succeed();
        gauge.note_trouble(false, now);
        gauge.note_stay(now.saturating_sub(sent.at).as_secs_f64());
        if let Some(report) = report {
            gauge.report(report, now);
        }
        if let Some(object) = &sent.object {
            self.warmth.note(&sent.target, &sent.route, object);
        }
        if let (Some(ran), Some(times)) = (ran, self.times.get_mut(&sent.route)) {
            times.note(sent.belief, ran);
        }
    }

    /// Requests at a target and in its queue here.
    #[must_use]
    pub fn present(&self, target: &str, now: Duration) -> u32 {
        let gauge = self.gauges.get(target);
        let there = gauge.map_or(0.0, |gauge| gauge.in_flight(now)).round();
        let queued = u32::try_from(self.queues.len(target)).unwrap_or(u32::MAX);
        count(there).saturating_add(queued)
    }

    /// The same, divided by what the target runs at a time.
    #[must_use]
    pub fn load(&self, target: &str, slots: u32, now: Duration) -> Report {
        let all = self.present(target, now);
        Report {
            running: all.min(slots),
            waiting: all.saturating_sub(slots),
            slots,
        }
    }

    /// Learns that a target turned a request away.
    pub fn turned_away(&mut self, target: &str, report: Option<Report>, now: Duration) {
        let gauge = self.gauge(target);
        gauge.note_trouble(true, now);
        if let Some(report) = report {
            gauge.report(report, now);
        }
    }

    /// Learns that a target could not be reached or broke off. Returns whether it is ejected.
    pub fn failed(&mut self, target: &str, may_eject: bool, now: Duration) -> bool {
        let gauge = self.gauge(target);
        gauge.note_trouble(true, now);
        gauge.health.fail(now, may_eject);
        gauge.health.ejected(now)
    }

    /// Whether the target is out of use after failures.
    #[must_use]
    pub fn is_ejected(&self, target: &str, now: Duration) -> bool {
        let gauge = self.gauges.get(target);
        gauge.is_some_and(|gauge| gauge.health.ejected(now))
    }

    /// Forgets what a target knew: it started anew.
    pub fn restarted(&mut self, target: &str) {
        self.warmth.forget(target);
        if let Some(gauge) = self.gauges.get_mut(target) {
            let own = gauge.own;
            *gauge = Gauge::default();
            gauge.own = own;
        }
    }

    /// Forgets the targets that are gone and have no request of this VM.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.warmth.retain(&is_known);
        self.ramp.retain(&is_known);
        self.gauges
            .retain(|id, gauge| gauge.own > 0 || is_known(id));
    }

    fn gauge(&mut self, target: &str) -> &mut Gauge {
        self.gauges.entry(target.to_owned()).or_default()
    }
}

/// How much an object prefers a target: by rendezvous weight, less what another region costs.
fn preference(key: &str, place: &Place<'_>, handicap: f64) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "only the high bits matter")]
    let drawn = weight(key, &place.target.id) as f64 / u64::MAX as f64;
    if place.distance == Distance::Far {
        drawn - handicap
    } else {
        drawn
    }
}

fn sent(wish: &Wish<'_>, candidate: &Candidate<'_>, now: Duration) -> Sent {
    Sent {
        target: candidate.id.to_owned(),
        route: wish.route.to_owned(),
        distance: candidate.distance,
        object: wish.object.map(str::to_owned),
        at: now,
        belief: candidate.belief,
        ahead: candidate.ahead,
        slots: candidate.slots,
        round_trip: Duration::from_secs_f64(candidate.round_trip_s),
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rounded count of requests"
)]
fn count(requests: f64) -> u32 {
    requests as u32
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
