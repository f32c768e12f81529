//! Everything that a VM has learned about targets, and the decisions made from it.

use {
    crate::{
        Ask, Belief, Candidate, Decision, Gauge, Place, Policy, Queues, Ramp, Report, Sent, Times,
        Urgency, Verdict, Warmth, Wish, choose,
    },
    std::time::Duration,
    wire::Map,
};

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
    pub(crate) gauges: Map<String, Gauge>,
    pub(crate) warmth: Warmth,
    pub(crate) times: Map<String, Times>,
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
        self.note_success(sent, report, ran, now);
        let waited = sent.ahead >= sent.slots || report.is_some_and(|report| report.waiting > 0);
        let Some(times) = self.times.get_mut(&sent.route) else {
            return;
        };
        if !waited {
            if sent.belief == Belief::Known {
                let gauge = self.gauges.entry(sent.target.clone()).or_default();
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
        self.note_success(sent, report, now.saturating_sub(sent.at), now);
        if let (Some(ran), Some(times)) = (ran, self.times.get_mut(&sent.route)) {
            times.note(sent.belief, ran);
        }
    }

    /// Notes an answer, whichever way it came, and how long the request stayed.
    fn note_success(&mut self, sent: &Sent, report: Option<Report>, stay: Duration, now: Duration) {
        let gauge = self.gauge(&sent.target);
        gauge.health.succeed();
        gauge.note_trouble(false, now);
        gauge.note_stay(stay.as_secs_f64());
        if let Some(report) = report {
            gauge.report(report, now);
        }
        if let Some(object) = &sent.object {
            self.warmth.note(&sent.target, &sent.route, object);
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
