//! The load balancer of one VM: its statistics of all targets and the decisions based on them.

use {
    crate::{
        Affinity, Candidate, Decision, Dispatch, EligibleTarget, LoadReport, Loading,
        PendingRequest, PriorityReserve, RecentObjects, RegionPlans, RemoteShare, RunningTimes,
        Selection, SelectionPolicy, SlowStart, Slowdown, Statements, TargetStats, Timing,
        WaitQueues, candidates::rank, hedge::Hedging, select_candidate, shedding::Shedding,
    },
    std::time::Duration,
    wire::Map,
};

/// Largest change per second of a share that prefers other regions, unless it is set.
const DEFAULT_SHARE_SPEED: f64 = 0.03;

/// A request that is decided on within this time of its arrival has not waited before.
const MAX_ARRIVAL_TIME: Duration = Duration::from_millis(10);

/// The state of the load balancer of one VM.
#[derive(Debug, Clone)]
pub struct Balancer {
    /// Weights of the cost function.
    pub policy: SelectionPolicy,
    /// Rate limits for cold targets.
    pub slow_start: SlowStart,
    /// What targets state about themselves.
    pub statements: Statements,
    /// Requests that wait at this VM, by target.
    pub queues: WaitQueues,
    /// Slots kept free for the most urgent requests of each service.
    pub priority_reserve: PriorityReserve,
    /// Response times and room by which copies of slow requests are decided.
    pub hedging: Hedging,
    pub(crate) target_stats: Map<String, TargetStats>,
    pub(crate) recent_objects: RecentObjects,
    /// Objects that targets are loading.
    pub(crate) loading: Loading,
    /// Running times by route.
    pub(crate) running_times: Map<String, RunningTimes>,
    /// Largest change of a route's share of requests that prefer other regions, per second.
    pub max_share_speed: f64,
    /// By route and service, the share of the requests that prefer other regions.
    pub(crate) remote_shares: Map<String, Map<String, RemoteShare>>,
    /// Routes whose share of requests that leave this region is planned.
    pub region_plans: RegionPlans,
    /// What is delayed or refused when there is too little room.
    pub shedding: Shedding,
}

impl Default for Balancer {
    fn default() -> Self {
        Self {
            policy: SelectionPolicy::default(),
            slow_start: SlowStart::default(),
            statements: Statements::default(),
            queues: WaitQueues::default(),
            priority_reserve: PriorityReserve::default(),
            hedging: Hedging::default(),
            target_stats: Map::default(),
            recent_objects: RecentObjects::default(),
            loading: Loading::default(),
            running_times: Map::default(),
            max_share_speed: DEFAULT_SHARE_SPEED,
            remote_shares: Map::default(),
            region_plans: RegionPlans::default(),
            shedding: Shedding::default(),
        }
    }
}

impl Balancer {
    /// Creates a balancer whose shares of requests that prefer other regions change by at most
    /// `max_share_speed` per second.
    #[must_use]
    pub fn new(max_share_speed: f64) -> Self {
        Self {
            max_share_speed,
            ..Self::default()
        }
    }

    /// Decides whether a request is sent to one of the eligible targets, waits for one or is
    /// refused.
    pub fn choose_target(
        &mut self,
        request: &PendingRequest<'_>,
        targets: &[EligibleTarget<'_>],
        now: Duration,
    ) -> Decision {
        let remote_weight = self.follow_remote_weight(request, targets, now);
        let ranked = rank(request, targets, remote_weight);
        let mut candidates = self.candidates(request, &ranked, now);
        let times = self.running_times_mut(request.route, request.objective);
        let timing = Timing {
            cached_run_s: times.expected_s(Affinity::Known),
            loading_run_s: times.expected_s(Affinity::Loading),
            uncached_run_s: times.expected_s(Affinity::Unknown),
            caller_wait_s: request.caller_wait.as_secs_f64(),
            local_wait_s: request.local_wait.as_secs_f64(),
            objective_s: request.objective.as_secs_f64(),
            time_left_s: request.time_left.as_secs_f64(),
        };
        let mut selection = select_candidate(&timing, &candidates, &self.policy);
        let is_refused = matches!(selection, Selection::Refuse { .. });
        if is_refused || candidates.iter().all(Candidate::is_held_back) {
            let remote = self.remote_candidates(request, &ranked, &candidates, now);
            candidates.extend(remote);
            selection = select_candidate(&timing, &candidates, &self.policy);
        }
        if !request.queue_key.is_late {
            self.shedding.record_punctual(request.service, now);
        }
        self.record_shortages(request, &candidates, selection, now);
        match selection {
            Selection::Refuse { retry_after } => {
                let is_declined = candidates.iter().any(Candidate::is_closed);
                self.shedding.first_runs_declined += u64::from(is_declined);
                Decision::Refuse { retry_after }
            }
            Selection::Wait(index) => Decision::Wait {
                target: candidates[index].id.to_owned(),
            },
            Selection::Send(index) => {
                self.record_move(request, targets, &candidates[index]);
                Decision::Send(build_dispatch(request, &candidates[index], now))
            }
        }
    }

    /// Counts whether a request went to another region than the one that the plan prefers. One with a
    /// single target, as another VM relayed it, had no choice.
    fn record_move(
        &mut self,
        request: &PendingRequest<'_>,
        targets: &[EligibleTarget<'_>],
        chosen: &Candidate<'_>,
    ) {
        if targets.len() > 1 {
            let is_planned = self.region_plans.is_planned(request.route);
            self.region_plans
                .record(is_planned && !chosen.in_preferred_region);
        }
    }

    /// Returns the most preferred of the eligible targets, whatever its load. `None` if it rests or its
    /// rate limit leaves no room.
    pub fn next_target(
        &mut self,
        request: &PendingRequest<'_>,
        targets: &[EligibleTarget<'_>],
        now: Duration,
    ) -> Option<Dispatch> {
        let remote_weight = self.follow_remote_weight(request, targets, now);
        let ranked = rank(request, targets, remote_weight);
        let candidates = self.candidates(request, &ranked, now);
        let first = candidates.first()?;
        (!first.is_held_back()).then(|| build_dispatch(request, first, now))
    }

    /// Records for an arriving request whether the targets that could serve it in time have a slot.
    fn record_shortages(
        &mut self,
        request: &PendingRequest<'_>,
        candidates: &[Candidate<'_>],
        selection: Selection,
        now: Duration,
    ) {
        let has_just_arrived = request.local_wait < MAX_ARRIVAL_TIME;
        if !has_just_arrived || request.queue_key.is_late || !self.shedding.is_active() {
            return;
        }
        if let Selection::Wait(index) = selection
            && candidates[index].load_s.is_some()
        {
            return;
        }
        for (index, candidate) in candidates.iter().enumerate() {
            let is_sent = selection == Selection::Send(index);
            let is_blocked = !matches!(selection, Selection::Send(_));
            if (is_sent || is_blocked)
                && candidate.affinity == Affinity::Known
                && !candidate.has_remote_queue
            {
                let shortages = &mut self.shedding.shortages;
                shortages.record(candidate.id, is_blocked, now);
            }
        }
    }

    /// Estimates how long ago the caller of a newly arrived request made its first attempt.
    ///
    /// `caller_timeout` is the time that the caller allows for this attempt. The second value is
    /// true if the request can no longer meet its latency objective.
    pub fn estimate_caller_wait(
        &mut self,
        route: &str,
        objective: Duration,
        caller_timeout: Duration,
    ) -> (Duration, bool) {
        let is_shedding = self.shedding.is_active();
        let times = self.running_times_mut(route, objective);
        let since_longest = times.estimate_caller_wait(caller_timeout);
        let since_shortest = times.timeouts.record(caller_timeout);
        let caller_wait = if is_shedding {
            since_shortest
        } else {
            since_longest
        };
        let is_late = caller_wait.as_secs_f64() + times.uncongested_s() > objective.as_secs_f64();
        (caller_wait, is_late)
    }

    /// Counts a request from a caller for the priority reserve of its service.
    pub fn record_arrival(&mut self, request: &PendingRequest<'_>) {
        self.priority_reserve
            .record(request.service, request.queue_key.priority);
    }

    fn running_times_mut(&mut self, route: &str, objective: Duration) -> &mut RunningTimes {
        let times = self.running_times.entry(route.to_owned());
        times.or_insert_with(|| RunningTimes::new(objective))
    }

    /// Counts a request as in flight at its target.
    ///
    /// `cold_requests_per_s` is the rate limit of a cold target, summed over all VMs.
    pub fn record_dispatch(
        &mut self,
        dispatch: &Dispatch,
        cold_requests_per_s: Option<f64>,
        now: Duration,
    ) {
        let stats = self.stats_mut(&dispatch.target);
        stats.own_in_flight += 1;
        if dispatch.affinity.is_first_run() {
            stats.first_runs_in_flight += 1;
            self.loading.begin(dispatch);
        }
        if let Some(requests_per_s) = cold_requests_per_s {
            self.slow_start
                .record_request(&dispatch.target, requests_per_s, now);
        }
    }

    /// Removes a request from those in flight at its target.
    pub fn record_completion(&mut self, dispatch: &Dispatch) {
        let stats = self.stats_mut(&dispatch.target);
        stats.own_in_flight = stats.own_in_flight.saturating_sub(1);
        if dispatch.affinity.is_first_run() {
            stats.first_runs_in_flight = stats.first_runs_in_flight.saturating_sub(1);
            self.loading.end(dispatch);
        }
    }

    /// Returns whether a request that waits for a target waits for its object to be loaded there, so
    /// that it needs no place in the queue for the slots.
    #[must_use]
    pub fn awaits_load(&self, request: &PendingRequest<'_>, target: &str, now: Duration) -> bool {
        let loads = |object| self.loading.elapsed(target, request.route, object, now);
        let is_loading = request.object.and_then(loads).is_some();
        let times = self.running_times.get(request.route);
        self.shedding.is_active()
            && is_loading
            && times.is_some_and(|times| !times.has_object_while_loading())
    }

    /// Records that a run was stopped, as a caller left or another target was sooner. A target that has
    /// objects from the start of their first run keeps what it began to load.
    pub fn record_stopped(&mut self, dispatch: &Dispatch, now: Duration) {
        let has_begun = now > dispatch.sent_at + dispatch.round_trip;
        let times = self.running_times.get(&dispatch.route);
        let is_kept = times.is_some_and(RunningTimes::keeps_begun_objects);
        if let Some(object) = &dispatch.object
            && dispatch.affinity.is_first_run()
            && has_begun
            && is_kept
        {
            let objects = &mut self.recent_objects;
            objects.record_begun(&dispatch.target, &dispatch.route, object, now);
        }
    }

    /// Updates the statistics with a response received directly from the target.
    pub fn record_response(
        &mut self,
        dispatch: &Dispatch,
        report: Option<LoadReport>,
        now: Duration,
    ) {
        let time_at_target = now
            .saturating_sub(dispatch.sent_at)
            .saturating_sub(dispatch.round_trip);
        self.record_success(dispatch, report, time_at_target, now);
        let was_queued = dispatch.requests_ahead >= dispatch.slots
            || report.is_some_and(|report| report.waiting > 0);
        let Some(times) = self.running_times.get_mut(&dispatch.route) else {
            return;
        };
        if !was_queued {
            if dispatch.affinity == Affinity::Known {
                let stats = self
                    .target_stats
                    .entry(dispatch.target.clone())
                    .or_default();
                stats.record_running_time(
                    time_at_target.as_secs_f64(),
                    times.expected_s(dispatch.affinity),
                );
            }
            times.record(dispatch.affinity, time_at_target);
        }
    }

    /// Updates the statistics with a response relayed by the VM that owns the target's queue.
    ///
    /// `running_time` is the time at the target without the wait in that queue.
    pub fn record_relayed_response(
        &mut self,
        dispatch: &Dispatch,
        report: Option<LoadReport>,
        running_time: Option<Duration>,
        now: Duration,
    ) {
        self.record_success(dispatch, report, now.saturating_sub(dispatch.sent_at), now);
        if let (Some(running_time), Some(times)) =
            (running_time, self.running_times.get_mut(&dispatch.route))
        {
            times.record(dispatch.affinity, running_time);
        }
    }

    /// Updates what a direct and a relayed response have in common.
    fn record_success(
        &mut self,
        dispatch: &Dispatch,
        report: Option<LoadReport>,
        response_time: Duration,
        now: Duration,
    ) {
        let stats = self.stats_mut(&dispatch.target);
        stats.health.record_success();
        stats.record_outcome(false, now);
        stats.record_response_time(response_time.as_secs_f64());
        if let Some(report) = report {
            stats.apply_report(report, now);
        }
        if let Some(object) = &dispatch.object {
            self.recent_objects
                .record(&dispatch.target, &dispatch.route, object, now);
        }
    }

    /// Returns the estimated number of requests in flight at a target from all VMs, plus those
    /// that wait for it at this VM.
    #[must_use]
    pub fn outstanding_requests(&self, target: &str, now: Duration) -> u32 {
        let stats = self.target_stats.get(target);
        let in_flight = stats.map_or(0.0, |stats| stats.in_flight(now)).round();
        let queued = u32::try_from(self.queues.len(target)).unwrap_or(u32::MAX);
        to_u32(in_flight).saturating_add(queued)
    }

    /// Returns the outstanding requests of a target, divided into running and waiting ones.
    #[must_use]
    pub fn load_report(&self, target: &str, slots: u32, now: Duration) -> LoadReport {
        let outstanding = self.outstanding_requests(target, now);
        LoadReport {
            running: outstanding.min(slots),
            waiting: outstanding.saturating_sub(slots),
            slots,
        }
    }

    /// Takes over how slow a target's machine is, as a response states it.
    pub fn record_slowdown(&mut self, target: &str, slowdown: Slowdown, now: Duration) {
        self.stats_mut(target).apply_slowdown(slowdown, now);
    }

    /// Returns how slow a target's machine was when it was last stated, or `None` if it never was.
    #[must_use]
    pub fn machine_slowdown(&self, target: &str, now: Duration) -> Option<Slowdown> {
        self.target_stats.get(target)?.machine_slowdown(now)
    }

    /// Returns the expected running time in seconds at a target that has the object, if any request
    /// of the route was sent.
    #[must_use]
    pub fn cached_run_s(&self, route: &str) -> Option<f64> {
        let times = self.running_times.get(route)?;
        Some(times.expected_s(Affinity::Known))
    }

    /// Returns the time until a request sent as `dispatch` is expected to be answered, in seconds.
    #[must_use]
    pub fn expected_response_s(&self, dispatch: &Dispatch, now: Duration) -> Option<f64> {
        let times = self.running_times.get(&dispatch.route)?;
        let stats = self.target_stats.get(&dispatch.target);
        let slowdown = stats.map_or(1.0, |stats| stats.slowdown(now));
        let running_s = times.expected_s(dispatch.affinity) * slowdown;
        Some(running_s + dispatch.round_trip.as_secs_f64())
    }

    /// Records that a target rejected a request without running it.
    pub fn record_rejection(&mut self, target: &str, report: Option<LoadReport>, now: Duration) {
        self.stats_mut(target).record_outcome(true, now);
        self.record_load(target, report, now);
    }

    /// Updates the load of a target that rejected a request because it wants to rest. That is no
    /// failure.
    pub fn record_load(&mut self, target: &str, report: Option<LoadReport>, now: Duration) {
        if let Some(report) = report {
            self.stats_mut(target).apply_report(report, now);
        }
    }

    /// Records that a target was unreachable or broke off a response.
    ///
    /// Returns whether the target is ejected. It is not newly ejected unless `may_eject`.
    pub fn record_failure(&mut self, target: &str, may_eject: bool, now: Duration) -> bool {
        let stats = self.stats_mut(target);
        stats.record_outcome(true, now);
        stats.health.record_failure(now, may_eject);
        stats.health.is_ejected(now)
    }

    /// Returns whether outlier ejection currently excludes the target.
    #[must_use]
    pub fn is_ejected(&self, target: &str, now: Duration) -> bool {
        let stats = self.target_stats.get(target);
        stats.is_some_and(|stats| stats.health.is_ejected(now))
    }

    /// Ends all ejections, as the failures that led to them were not those of the targets.
    pub fn end_ejections(&mut self) {
        for stats in self.target_stats.values_mut() {
            stats.health.record_success();
        }
    }

    /// Discards the statistics, statements and cached objects of a target that has restarted. Requests of
    /// this VM that are still in flight there remain counted.
    pub fn reset_target(&mut self, target: &str) {
        self.recent_objects.clear_target(target);
        self.statements.clear(target);
        if let Some(stats) = self.target_stats.get_mut(target) {
            let own_in_flight = stats.own_in_flight;
            let first_runs_in_flight = stats.first_runs_in_flight;
            *stats = TargetStats::default();
            stats.own_in_flight = own_in_flight;
            stats.first_runs_in_flight = first_runs_in_flight;
        }
    }

    /// Discards the state of targets for which `is_known` returns false. Statistics of a target
    /// are kept while a request of this VM is in flight there.
    pub fn retain_targets(&mut self, is_known: impl Fn(&str) -> bool) {
        self.recent_objects.retain_targets(&is_known);
        self.slow_start.retain_targets(&is_known);
        self.statements.retain_targets(&is_known);
        self.shedding.shortages.retain_targets(&is_known);
        self.target_stats
            .retain(|id, stats| stats.own_in_flight > 0 || is_known(id));
    }

    fn stats_mut(&mut self, target: &str) -> &mut TargetStats {
        self.target_stats.entry(target.to_owned()).or_default()
    }
}

fn build_dispatch(
    request: &PendingRequest<'_>,
    candidate: &Candidate<'_>,
    now: Duration,
) -> Dispatch {
    Dispatch {
        target: candidate.id.to_owned(),
        route: request.route.to_owned(),
        locality: candidate.locality,
        object: request.object.map(str::to_owned),
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
fn to_u32(requests: f64) -> u32 {
    requests as u32
}
