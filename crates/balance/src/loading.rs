//! Knows which objects targets are loading, from the first runs of this VM that are in flight.
//!
//! It answers the load of many objects whose targets do not have them, after a start or once they
//! have lost their targets: each object costs one first run. See `docs/design/object-homes.md`.

use {crate::Dispatch, std::time::Duration, wire::Map};

/// Usual first runs that a load may last before it is not waited for any longer.
const MAX_FIRST_RUNS: f64 = 1.5;

/// First runs of one object that are in flight at a target.
#[derive(Debug, Clone)]
struct Load {
    route: String,
    object: String,
    /// When the oldest of them was sent.
    since: Duration,
    run_count: u32,
}

/// The objects that each target is loading for requests of this VM.
#[derive(Debug, Clone, Default)]
pub struct Loading {
    by_target: Map<String, Vec<Load>>,
}

/// Expected times of a request at a target that is loading its object, in seconds.
#[derive(Debug, Clone, Copy)]
pub struct LoadTimes {
    /// Time of a first run.
    pub first_run_s: f64,
    /// Time of a repeat run.
    pub repeat_run_s: f64,
    /// Time of a run beside the one that loads the object.
    pub beside_s: f64,
    /// Time until the request misses its latency objective; negative if it has.
    pub until_late_s: f64,
    /// Time until its deadline.
    pub time_left_s: f64,
}

impl Loading {
    /// Records a first run that is sent.
    pub fn begin(&mut self, dispatch: &Dispatch) {
        let Some(object) = &dispatch.object else {
            return;
        };
        let loads = self.by_target.entry(dispatch.target.clone()).or_default();
        if let Some(load) = loads
            .iter_mut()
            .find(|load| load.is_of(&dispatch.route, object))
        {
            load.run_count += 1;
            return;
        }
        loads.push(Load {
            route: dispatch.route.clone(),
            object: object.clone(),
            since: dispatch.sent_at,
            run_count: 1,
        });
    }

    /// Records that a first run has ended, whether the target has the object now or not.
    pub fn end(&mut self, dispatch: &Dispatch) {
        let Some(object) = &dispatch.object else {
            return;
        };
        let Some(loads) = self.by_target.get_mut(&dispatch.target) else {
            return;
        };
        if let Some(load) = loads
            .iter_mut()
            .find(|load| load.is_of(&dispatch.route, object))
        {
            load.run_count -= 1;
        }
        loads.retain(|load| load.run_count > 0);
        if loads.is_empty() {
            self.by_target.remove(&dispatch.target);
        }
    }

    /// Returns the time for which a target has been loading an object, or `None` if it is not.
    #[must_use]
    pub(crate) fn elapsed(
        &self,
        target: &str,
        route: &str,
        object: &str,
        now: Duration,
    ) -> Option<Duration> {
        let loads = self.by_target.get(target)?;
        let load = loads.iter().find(|load| load.is_of(route, object))?;
        Some(now.saturating_sub(load.since))
    }
}

impl Load {
    fn is_of(&self, route: &str, object: &str) -> bool {
        self.route == route && self.object == object
    }
}

impl LoadTimes {
    /// Returns the time in seconds for which a request waits until its target, which has been loading
    /// its object for `elapsed`, has it. `None` if it does not wait: runs beside the load are as short as
    /// if the target had the object, one is sooner and in time, or the load lasts longer than expected.
    #[must_use]
    pub fn wait_s(&self, elapsed: Duration) -> Option<f64> {
        let elapsed_s = elapsed.as_secs_f64();
        if elapsed_s > MAX_FIRST_RUNS * self.first_run_s {
            return None;
        }
        let wait_s = (self.first_run_s - elapsed_s).max(0.0);
        let response_s = wait_s + self.repeat_run_s;
        let is_late_alone = self.beside_s > self.until_late_s;
        let is_worthwhile = response_s < self.beside_s || is_late_alone;
        (is_worthwhile && response_s < self.time_left_s).then_some(wait_s)
    }
}
