//! Everything that a VM has learned about targets, and the decisions made from it.

use {
    crate::{
        Affinity, Candidate, Decision, Dispatch, EligibleTarget, LoadReport, PendingRequest,
        Policy, PriorityReserve, RecentObjects, RunningTimes, Selection, SlowStart, TargetStats,
        Timing, WaitQueues, select_candidate,
    },
    std::time::Duration,
    wire::Map,
};

/// What is known of targets and routes.
#[derive(Debug, Clone, Default)]
pub struct Balancer {
    /// Weights of the decisions.
    pub policy: Policy,
    /// Rates of cold targets.
    pub slow_start: SlowStart,
    /// Requests that wait for targets.
    pub queues: WaitQueues,
    /// How much of each service's work is urgent.
    pub priority_reserve: PriorityReserve,
    pub(crate) target_stats: Map<String, TargetStats>,
    pub(crate) recent_objects: RecentObjects,
    pub(crate) running_times: Map<String, RunningTimes>,
}

impl Balancer {
    /// Decides where a request goes.
    pub fn choose_target(
        &mut self,
        wish: &PendingRequest<'_>,
        places: &[EligibleTarget<'_>],
        now: Duration,
    ) -> Decision {
        let candidates = self.candidates(wish, places, now);
        let times = self.running_times_mut(wish.route, wish.objective);
        let ask = Timing {
            cached_run_s: times.expected_s(Affinity::Known),
            uncached_run_s: times.expected_s(Affinity::Unknown),
            caller_wait_s: wish.caller_wait.as_secs_f64(),
            local_wait_s: wish.local_wait.as_secs_f64(),
            objective_s: wish.objective.as_secs_f64(),
            time_left_s: wish.time_left.as_secs_f64(),
        };
        match select_candidate(&ask, &candidates, &self.policy) {
            Selection::Refuse { retry_after: after } => Decision::Refuse { retry_after: after },
            Selection::Wait(index) => Decision::Wait {
                target: candidates[index].id.to_owned(),
            },
            Selection::Send(index) => Decision::Send(sent(wish, &candidates[index], now)),
        }
    }

    /// How long ago the caller of a request that has just arrived asked first, by the time
    /// that it grants, and whether its objective is missed for that.
    pub fn estimate_caller_wait(
        &mut self,
        route: &str,
        objective: Duration,
        granted: Duration,
    ) -> (Duration, bool) {
        let times = self.running_times_mut(route, objective);
        let before = times.estimate_caller_wait(granted);
        let late = before.as_secs_f64() + times.uncongested_s() > objective.as_secs_f64();
        (before, late)
    }

    /// Notes a request that a caller sent.
    pub fn record_arrival(&mut self, wish: &PendingRequest<'_>) {
        self.priority_reserve
            .record(wish.service, wish.queue_key.priority);
    }

    fn running_times_mut(&mut self, route: &str, objective: Duration) -> &mut RunningTimes {
        let times = self.running_times.entry(route.to_owned());
        times.or_insert_with(|| RunningTimes::new(objective))
    }

    /// Notes that a request goes to its target.
    pub fn record_dispatch(&mut self, sent: &Dispatch, cold_bound: Option<f64>, now: Duration) {
        self.stats_mut(&sent.target).own_in_flight += 1;
        if let Some(bound) = cold_bound {
            self.slow_start.record_request(&sent.target, bound, now);
        }
    }

    /// Notes that a request is no longer at its target.
    pub fn record_completion(&mut self, sent: &Dispatch) {
        let gauge = self.stats_mut(&sent.target);
        gauge.own_in_flight = gauge.own_in_flight.saturating_sub(1);
    }

    /// Learns from an answer.
    pub fn record_response(&mut self, sent: &Dispatch, report: Option<LoadReport>, now: Duration) {
        let ran = now
            .saturating_sub(sent.sent_at)
            .saturating_sub(sent.round_trip);
        self.record_success(sent, report, ran, now);
        let waited =
            sent.requests_ahead >= sent.slots || report.is_some_and(|report| report.waiting > 0);
        let Some(times) = self.running_times.get_mut(&sent.route) else {
            return;
        };
        if !waited {
            if sent.affinity == Affinity::Known {
                let gauge = self.target_stats.entry(sent.target.clone()).or_default();
                gauge.record_running_time(ran.as_secs_f64(), times.expected_s(sent.affinity));
            }
            times.record(sent.affinity, ran);
        }
    }

    /// Learns from an answer that came through the VM that keeps the target's queue.
    pub fn record_relayed_response(
        &mut self,
        sent: &Dispatch,
        report: Option<LoadReport>,
        ran: Option<Duration>,
        now: Duration,
    ) {
        self.record_success(sent, report, now.saturating_sub(sent.sent_at), now);
        if let (Some(ran), Some(times)) = (ran, self.running_times.get_mut(&sent.route)) {
            times.record(sent.affinity, ran);
        }
    }

    /// Notes an answer, whichever way it came, and how long the request stayed.
    fn record_success(
        &mut self,
        sent: &Dispatch,
        report: Option<LoadReport>,
        stay: Duration,
        now: Duration,
    ) {
        let gauge = self.stats_mut(&sent.target);
        gauge.health.succeed();
        gauge.record_outcome(false, now);
        gauge.record_response_time(stay.as_secs_f64());
        if let Some(report) = report {
            gauge.apply_report(report, now);
        }
        if let Some(object) = &sent.object {
            self.recent_objects
                .record(&sent.target, &sent.route, object);
        }
    }

    /// Requests at a target and in its queue here.
    #[must_use]
    pub fn outstanding_requests(&self, target: &str, now: Duration) -> u32 {
        let gauge = self.target_stats.get(target);
        let there = gauge.map_or(0.0, |gauge| gauge.in_flight(now)).round();
        let queued = u32::try_from(self.queues.len(target)).unwrap_or(u32::MAX);
        count(there).saturating_add(queued)
    }

    /// The same, divided by what the target runs at a time.
    #[must_use]
    pub fn load_report(&self, target: &str, slots: u32, now: Duration) -> LoadReport {
        let all = self.outstanding_requests(target, now);
        LoadReport {
            running: all.min(slots),
            waiting: all.saturating_sub(slots),
            slots,
        }
    }

    /// Learns that a target turned a request away.
    pub fn record_rejection(&mut self, target: &str, report: Option<LoadReport>, now: Duration) {
        let gauge = self.stats_mut(target);
        gauge.record_outcome(true, now);
        if let Some(report) = report {
            gauge.apply_report(report, now);
        }
    }

    /// Learns that a target could not be reached or broke off. Returns whether it is ejected.
    pub fn record_failure(&mut self, target: &str, may_eject: bool, now: Duration) -> bool {
        let gauge = self.stats_mut(target);
        gauge.record_outcome(true, now);
        gauge.health.fail(now, may_eject);
        gauge.health.ejected(now)
    }

    /// Whether the target is out of use after failures.
    #[must_use]
    pub fn is_ejected(&self, target: &str, now: Duration) -> bool {
        let gauge = self.target_stats.get(target);
        gauge.is_some_and(|gauge| gauge.health.ejected(now))
    }

    /// Forgets what a target knew: it started anew.
    pub fn reset_target(&mut self, target: &str) {
        self.recent_objects.clear_target(target);
        if let Some(gauge) = self.target_stats.get_mut(target) {
            let own = gauge.own_in_flight;
            *gauge = TargetStats::default();
            gauge.own_in_flight = own;
        }
    }

    /// Forgets the targets that are gone and have no request of this VM.
    pub fn retain_targets(&mut self, is_known: impl Fn(&str) -> bool) {
        self.recent_objects.retain_targets(&is_known);
        self.slow_start.retain_targets(&is_known);
        self.target_stats
            .retain(|id, gauge| gauge.own_in_flight > 0 || is_known(id));
    }

    fn stats_mut(&mut self, target: &str) -> &mut TargetStats {
        self.target_stats.entry(target.to_owned()).or_default()
    }
}

fn sent(wish: &PendingRequest<'_>, candidate: &Candidate<'_>, now: Duration) -> Dispatch {
    Dispatch {
        target: candidate.id.to_owned(),
        route: wish.route.to_owned(),
        locality: candidate.locality,
        object: wish.object.map(str::to_owned),
        sent_at: now,
        affinity: candidate.affinity,
        requests_ahead: candidate.requests_ahead,
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
