//! Decides what is delayed or refused when not all work can be served in time, so that callers
//! lose least.
//!
//! It answers the load of a service that has too few slots for some seconds, and that of targets
//! which decline requests although they have free slots. See `docs/design/least-loss.md`.

mod rate;
mod returns;
mod shortage;
mod timeouts;

pub use {
    returns::{Refusal, ReturnReason, ReturnSchedule, ReturnTime},
    shortage::{Shortages, max_first_runs, reserved_slots},
    timeouts::Timeouts,
};

use {crate::Activation, std::time::Duration, wire::Map};

/// Time for which a service is expected to get further requests that can be in time, after the last one.
const PUNCTUAL_MEMORY: Duration = Duration::from_secs(2);

/// What one VM knows of services and targets that are short of room.
#[derive(Debug, Clone, Default)]
pub struct Shedding {
    /// Whether the decisions are in force.
    pub activation: Activation,
    /// Targets whose slots do not suffice.
    pub shortages: Shortages,
    /// Requests refused as a target had no slot to spare for the first run of an object.
    pub first_runs_declined: u64,
    /// By service, when refused callers may return.
    returns: Map<String, ReturnSchedule>,
    /// By service, when a request could last still be in time.
    punctual_at: Map<String, Duration>,
}

impl Shedding {
    /// Returns whether the decisions are in force.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.activation.is_active()
    }

    /// Counts an arriving request of a service. `is_new` is false for a caller that came back.
    pub fn record_arrival(&mut self, service: &str, is_new: bool, now: Duration) {
        if is_new && self.is_active() {
            self.schedule_mut(service).record_arrival(now);
        }
    }

    /// Records that a request to a service can still be in time.
    pub(crate) fn record_punctual(&mut self, service: &str, now: Duration) {
        if !self.is_active() {
            return;
        }
        if let Some(at) = self.punctual_at.get_mut(service) {
            *at = now;
        } else {
            self.punctual_at.insert(service.to_owned(), now);
        }
    }

    /// Returns whether late requests to a service leave slots free for those that can still be in
    /// time. Where none of these come, the slots would be idle while others wait.
    pub(crate) fn keeps_slots(&self, service: &str, now: Duration) -> bool {
        let punctual_at = self.punctual_at.get(service);
        let is_recent = |at: &Duration| now.saturating_sub(*at) < PUNCTUAL_MEMORY;
        self.is_active() && punctual_at.is_some_and(is_recent)
    }

    /// Counts a request of a service that was answered.
    pub fn record_completion(&mut self, service: &str, now: Duration) {
        if self.is_active() {
            self.schedule_mut(service).record_completion(now);
        }
    }

    /// Returns when a refused caller of a service may return.
    pub fn plan_return(
        &mut self,
        service: &str,
        refusal: &Refusal,
        now: Duration,
    ) -> Option<ReturnTime> {
        self.is_active()
            .then(|| self.schedule_mut(service).plan(refusal, now))
    }

    /// Discards the schedules of services for which `is_known` returns false.
    pub fn retain_services(&mut self, is_known: impl Fn(&str) -> bool) {
        self.returns.retain(|service, _| is_known(service));
        self.punctual_at.retain(|service, _| is_known(service));
    }

    fn schedule_mut(&mut self, service: &str) -> &mut ReturnSchedule {
        self.returns.entry(service.to_owned()).or_default()
    }
}
