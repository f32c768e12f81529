//! Decides when a read runs at the second home of its object, and when that learns the object.
//!
//! It answers the load of targets that share their machines: a run at a busy one is late, while the
//! object's next target is idle. See `docs/design/object-homes.md`.

use {
    crate::{Balancer, PendingRequest, RunningTimes, Slowdown, hedge::COPY_SLOT_FRACTION},
    std::time::Duration,
};

/// Time that a read has to gain elsewhere, as a fraction of a usual run, as what is known of the machines
/// is some moments old.
const MIN_GAIN: f64 = 0.5;
/// Time in which a second home has to have saved as many reads from being late as learning the object
/// makes late, as targets come and go. In seconds.
const PAYBACK_S: f64 = 10.0;
/// Largest part of the recent requests that a target rejected or failed for it to learn objects.
const MAX_FAILURE_RATE: f64 = 0.05;
/// Objects that a target handled recently beyond which it learns none as a second home, so that it
/// does not forget those of which it is the first. Half of what targets cache.
const MAX_OBJECTS: usize = 16;

/// Where a read runs that has arrived at the VM that owns its target's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    /// At this target.
    Stay,
    /// At the next target of its object, if that may run it.
    Elsewhere {
        /// Whether that target may load the object for it.
        may_load: bool,
    },
}

/// Why a target does not run a read as the second home of its object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Declined {
    /// Too few of its slots are free.
    NoRoom,
    /// It does not have the object.
    NoObject,
    /// It does not have the object, and learns none at the moment.
    NotLearning,
}

impl Declined {
    /// Returns the text for logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoRoom => "no room",
            Self::NoObject => "no object",
            Self::NotLearning => "not learning",
        }
    }
}

/// The target that a read came to first.
#[derive(Debug, Clone, Copy)]
pub struct Visited<'a> {
    /// Identifier of the target.
    pub target: &'a str,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Requests at the target and ahead in its queue.
    pub requests_ahead: f64,
    /// Round trip that it takes to go to another target instead.
    pub way: Duration,
}

impl Visited<'_> {
    fn has_free_slot(&self) -> bool {
        self.requests_ahead < f64::from(self.slots)
    }

    /// Returns the number of runs, one after the other, for which the read waits.
    fn runs_ahead(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        (self.requests_ahead - slots + 1.0).max(0.0) / slots
    }
}

/// A read that comes to its object's second home, as the first one is slow.
#[derive(Debug, Clone, Copy)]
pub struct Diverted {
    /// Whether the target may load the object for it.
    pub may_load: bool,
    /// Whether it also runs at the first home, and may be stopped.
    pub is_copy: bool,
    /// Requests at the target and ahead in its queue.
    pub requests_ahead: f64,
    /// First runs at the target.
    pub first_runs: u32,
}

impl Balancer {
    /// Decides whether a read runs at its target, whose queue this VM owns, or at the next target of
    /// its object.
    #[must_use]
    pub fn advise(
        &self,
        request: &PendingRequest<'_>,
        visited: &Visited<'_>,
        now: Duration,
    ) -> Advice {
        let target = visited.target;
        let (Some(object), Some(times), Some(stats)) = (
            request.object,
            self.running_times.get(request.route),
            self.target_stats.get(target),
        ) else {
            return Advice::Stay;
        };
        if !self.recent_objects.contains(target, request.route, object) {
            return Advice::Stay;
        }
        let Some(machine) = stats.machine_slowdown(now) else {
            return Advice::Stay;
        };
        let objective_s = request.objective.as_secs_f64();
        let waited_s = request.caller_wait.as_secs_f64();
        let elsewhere_s = visited.way.as_secs_f64() + times.uncongested_s();
        let run_s = run_s(times, machine);
        let here_s = run_s * (1.0 + visited.runs_ahead());
        let is_sooner = here_s - elsewhere_s > MIN_GAIN * times.uncongested_s();
        if !is_sooner || waited_s + elsewhere_s > objective_s {
            return Advice::Stay;
        }
        Advice::Elsewhere {
            may_load: visited.has_free_slot() && self.pays_for_home(request, target, object, now),
        }
    }

    /// Returns whether the object is asked for so often that a second home soon saves as many reads
    /// as learning the object makes late.
    fn pays_for_home(
        &self,
        request: &PendingRequest<'_>,
        target: &str,
        object: &str,
        now: Duration,
    ) -> bool {
        let late_part = self.hedging.late_part(request.route, request.objective);
        let per_s = self
            .recent_objects
            .requests_per_s(target, request.route, object, now);
        late_part.unwrap_or(0.0) * per_s * PAYBACK_S >= 1.0
    }

    /// Decides whether a target whose queue this VM owns runs a read as the second home of its object:
    /// if it has the object, or may load it for the read and has room for that. It loads one at a time.
    ///
    /// # Errors
    /// Why it does not.
    pub fn check_diverted(
        &self,
        request: &PendingRequest<'_>,
        target: &str,
        slots: u32,
        diverted: &Diverted,
        now: Duration,
    ) -> Result<(), Declined> {
        if diverted.requests_ahead >= COPY_SLOT_FRACTION * f64::from(slots) {
            return Err(Declined::NoRoom);
        }
        let has_object = |object| {
            let loading = self.loading.elapsed(target, request.route, object, now);
            loading.is_some()
                || self.recent_objects.is_begun(target, request.route, object)
                || self.recent_objects.contains(target, request.route, object)
        };
        if request.object.is_some_and(has_object) {
            return Ok(());
        }
        let times = self.running_times.get(request.route);
        let keeps_begun = times.is_some_and(RunningTimes::keeps_begun_objects);
        if !diverted.may_load || (diverted.is_copy && !keeps_begun) {
            return Err(Declined::NoObject);
        }
        let failure_rate = self
            .target_stats
            .get(target)
            .map_or(0.0, |stats| stats.failure_rate(now));
        let may_learn = diverted.first_runs == 0
            && failure_rate < MAX_FAILURE_RATE
            && self.recent_objects.len(target) < MAX_OBJECTS;
        if may_learn {
            Ok(())
        } else {
            Err(Declined::NotLearning)
        }
    }

    /// Returns the numbers of requests and of first runs at a target, with those that wait for it here.
    #[must_use]
    pub fn load_of(&self, target: &str, now: Duration) -> (f64, u32) {
        let queued = u32::try_from(self.queues.len(target)).unwrap_or(u32::MAX);
        let stats = self.target_stats.get(target);
        let in_flight = stats.map_or(0.0, |stats| stats.in_flight(now));
        let first_runs = stats.map_or(0, |stats| stats.first_runs_in_flight);
        (in_flight + f64::from(queued), first_runs)
    }
}

/// Returns the expected running time on a machine in seconds.
fn run_s(times: &RunningTimes, machine: Slowdown) -> f64 {
    times.uncongested_s() * machine.expected_factor().max(1.0)
}
