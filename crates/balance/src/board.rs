//! Everything that a VM has learned about targets, and the decisions made from it.

use {
    crate::{
        Ask, Candidate, Decision, Distance, Gauge, Policy, Ramp, Report, Times, Warmth, choose,
        weight,
    },
    catalog::{Catalog, Target},
    std::{cmp::Reverse, time::Duration},
    wire::Map,
};

/// A request that is at a target.
#[derive(Debug, Clone)]
pub struct Sent {
    /// Identifier of the target.
    pub target: String,
    /// Name of the route.
    pub route: String,
    /// Object that the request concerns, if it says.
    pub object: Option<String>,
    /// When it was sent.
    pub at: Duration,
    /// Whether the target was taken to know the object.
    pub warm: bool,
    /// Whether it was taken to run at once.
    pub at_once: bool,
    /// Time there and back.
    pub round_trip: Duration,
}

/// What is known of targets and routes.
#[derive(Debug, Clone, Default)]
pub struct Board {
    /// Weights of the decisions.
    pub policy: Policy,
    /// Rates of cold targets.
    pub ramp: Ramp,
    gauges: Map<String, Gauge>,
    warmth: Warmth,
    times: Map<String, Times>,
}

/// What a request asks of the board.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Wish<'a> {
    pub(crate) route: &'a str,
    pub(crate) object: Option<&'a str>,
}

impl Board {
    /// Chooses a target among those that `place` lets in; it gives the distance and the
    /// time there and back, and `None` for a target that this request may not go to.
    ///
    /// # Errors
    /// The time after which a target is expected to have room, when none has now.
    #[allow(clippy::too_many_arguments, reason = "one call, made in one place")]
    pub fn choose(
        &mut self,
        catalog: &Catalog,
        service: &str,
        route: (&str, Duration),
        object: Option<&str>,
        left: (f64, f64),
        place: impl Fn(&Target) -> Option<(Distance, Duration)>,
        cold_bound: impl Fn(&Target) -> Option<f64>,
        now: Duration,
    ) -> Result<Sent, Duration> {
        let wish = Wish {
            route: route.0,
            object,
        };
        let mut targets: Vec<(&Target, Distance, Duration, bool)> = Vec::new();
        for target in catalog.usable(service) {
            let Some((distance, round_trip)) = place(target) else {
                continue;
            };
            let gauge = self.gauges.get(&target.id);
            if gauge.is_some_and(|gauge| gauge.health.ejected(now)) {
                continue;
            }
            let cold = catalog.is_cold(&target.id, now);
            if cold {
                let fits = cold_bound(target).is_some_and(|b| self.ramp.fits(&target.id, b, now));
                if !fits {
                    continue;
                }
            }
            targets.push((target, distance, round_trip, cold));
        }
        let candidates = self.candidates(&wish, &targets, now);
        let times = self.times.entry(route.0.to_owned());
        let times = times.or_insert_with(|| Times::new(route.1));
        let ask = Ask {
            warm_s: times.expect(true),
            cold_s: times.expect(false),
            objective_left_s: left.0,
            objective_s: route.1.as_secs_f64(),
            deadline_left_s: left.1,
        };
        match choose(&ask, &candidates, &self.policy) {
            Decision::Refuse { after } => Err(after),
            Decision::Send { index, .. } => Ok(sent(&wish, &candidates[index], now)),
        }
    }

    fn candidates<'a>(
        &self,
        wish: &Wish<'_>,
        targets: &[(&'a Target, Distance, Duration, bool)],
        now: Duration,
    ) -> Vec<Candidate<'a>> {
        let key = wish.object.unwrap_or_default();
        let mut order: Vec<usize> = (0..targets.len()).collect();
        order.sort_by_key(|&i| (targets[i].1, Reverse(weight(key, &targets[i].0.id))));
        let mut out = Vec::with_capacity(targets.len());
        let mut rank = 0;
        let mut before = None;
        for index in order {
            let (target, distance, round_trip, cold) = targets[index];
            rank = if before == Some(distance) {
                rank + 1
            } else {
                0
            };
            before = Some(distance);
            out.push(self.candidate(wish, target, distance, round_trip, cold, rank, now));
        }
        out
    }

    #[allow(clippy::too_many_arguments, reason = "one call, made in one place")]
    fn candidate<'a>(
        &self,
        wish: &Wish<'_>,
        target: &'a Target,
        distance: Distance,
        round_trip: Duration,
        cold: bool,
        rank: usize,
        now: Duration,
    ) -> Candidate<'a> {
        let gauge = self.gauges.get(&target.id);
        let known = |object: &str| self.warmth.holds(&target.id, object);
        let first = rank == 0 && distance == Distance::Zone;
        Candidate {
            id: &target.id,
            slots: target.slots,
            in_flight: gauge.map_or(0.0, |gauge| gauge.in_flight(now)),
            distance,
            round_trip_s: round_trip.as_secs_f64(),
            rank: if wish.object.is_some() { rank } else { 0 },
            warm: wish.object.is_none_or(|object| first || known(object)),
            cold,
            slowness: gauge.map_or(1.0, Gauge::slowness),
            trouble: gauge.map_or(0.0, |gauge| gauge.trouble(now)),
        }
    }

    /// Notes that a request goes to its target.
    pub fn start(&mut self, sent: &Sent, cold_bound: Option<f64>, now: Duration) {
        self.gauge(&sent.target).own += 1;
        if let Some(bound) = cold_bound {
            self.ramp.record(&sent.target, bound, now);
        }
        if let Some(object) = &sent.object {
            self.warmth.note(&sent.target, object);
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
        if let Some(report) = report {
            gauge.report(report, now);
        }
        let Some(times) = self.times.get_mut(&sent.route) else {
            return;
        };
        if sent.at_once {
            gauge.note_time(ran.as_secs_f64(), times.expect(sent.warm));
            times.note(sent.warm, ran);
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

    /// Takes what peers have at a target.
    pub fn set_peers(&mut self, target: &str, running: u32) {
        self.gauge(target).set_peers(running);
    }

    /// Requests of this VM at each target.
    pub fn loads(&self) -> impl Iterator<Item = (&str, u32)> {
        let busy = self.gauges.iter().filter(|(_, gauge)| gauge.own > 0);
        busy.map(|(id, gauge)| (id.as_str(), gauge.own))
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

fn sent(wish: &Wish<'_>, candidate: &Candidate<'_>, now: Duration) -> Sent {
    Sent {
        target: candidate.id.to_owned(),
        route: wish.route.to_owned(),
        object: wish.object.map(str::to_owned),
        at: now,
        warm: candidate.warm,
        at_once: candidate.in_flight < f64::from(candidate.slots),
        round_trip: Duration::from_secs_f64(candidate.round_trip_s),
    }
}
