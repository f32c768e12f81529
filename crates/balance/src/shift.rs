//! Which part of a zone's objects is served in other regions.

use {crate::weight, std::time::Duration};

/// Load of the zone's own targets, as a part of their slots, above which objects move away.
const BUSY: f64 = 0.75;
/// Part of the allowed change in a window that is used, and the window it is stated for.
const PACE: f64 = 0.6;
const WINDOW_S: f64 = 2.0;
/// Load of all targets that is assumed before there is a measurement.
const ASSUMED: f64 = 0.75;
/// A smaller part of movable work is taken for this one.
const LEAST_MOVABLE: f64 = 0.05;
/// Longest step of time that is taken at once.
const MAX_STEP_S: f64 = 0.25;
/// Requests a second below which nothing is concluded.
const MIN_RATE: f64 = 2.0;
/// Part of a new sample in the mean running time.
const RUN_STEP: f64 = 0.05;
/// Time over which the offered work is averaged.
const AVERAGE_S: f64 = 1.5;

/// Work that callers offer to a service.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// Requests a second.
    rate: f64,
    at: Duration,
    /// Mean time for which a request fills a slot of a target near this VM.
    run_s: f64,
    /// Part of the work that another region could do in time.
    movable: f64,
    /// Mean running time of a request, by which that part is weighed.
    weight_s: f64,
}

impl Offer {
    /// Starts with the running time where no target knows the objects.
    #[must_use]
    pub fn new(run_s: f64, now: Duration) -> Self {
        Self {
            rate: 0.0,
            at: now,
            run_s,
            movable: 1.0,
            weight_s: run_s,
        }
    }

    /// Notes a request, the time that it usually runs, and whether another region could
    /// answer it in time.
    pub fn arrived(&mut self, run_s: f64, movable: bool, now: Duration) {
        self.weight_s += RUN_STEP * (run_s - self.weight_s);
        let sample = if movable { 1.0 } else { 0.0 };
        let step = RUN_STEP * run_s / self.weight_s.max(run_s).max(f64::MIN_POSITIVE);
        self.movable += step * (sample - self.movable);
        self.rate = self.rate(now) + 1.0 / AVERAGE_S;
        self.at = now;
    }

    /// Notes how long a target near this VM ran a request.
    pub fn ran(&mut self, run_s: f64) {
        self.run_s += RUN_STEP * (run_s - self.run_s);
    }

    /// Part of the work that another region could do in time.
    #[must_use]
    pub fn movable(&self) -> f64 {
        self.movable
    }

    /// Slots that the requests of late fill, or would fill.
    #[must_use]
    pub fn slots(&self, now: Duration) -> f64 {
        self.rate(now) * self.run_s
    }

    /// Whether there are enough requests to tell the rate.
    #[must_use]
    pub fn is_measured(&self, now: Duration) -> bool {
        self.rate(now) >= MIN_RATE
    }

    fn rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.rate * (-age / AVERAGE_S).exp()
    }
}

/// The part that moves, changed slowly: what moves meets targets that do not know it.
#[derive(Debug, Clone)]
pub struct Shift {
    part: f64,
    at: Duration,
}

impl Shift {
    /// Starts from the share of all slots that the region has, for as many regions with
    /// equal demand.
    #[must_use]
    pub fn new(share: f64, regions: usize, now: Duration) -> Self {
        let regions = f64::from(u32::try_from(regions.max(1)).unwrap_or(1));
        Self {
            part: excess(ASSUMED / (share * regions)),
            at: now,
        }
    }

    /// Takes the load that callers offer to the zone's own targets, as a part of their
    /// slots, and the part of it that can move; `max_shift` bounds the change in a window.
    ///
    /// Where little can move, more of that has to.
    pub fn update(&mut self, load: f64, movable: f64, max_shift: f64, now: Duration) {
        let step = now.saturating_sub(self.at).as_secs_f64().min(MAX_STEP_S);
        self.at = now;
        let pace = max_shift * PACE / WINDOW_S * step;
        let wanted = (excess(load) / movable.max(LEAST_MOVABLE)).min(1.0);
        let change = wanted - self.part;
        self.part += change.clamp(-pace, pace);
    }

    /// Whether an object is among those that move. The order of objects is fixed, so a
    /// change of the part moves only as many objects as it must.
    #[must_use]
    pub fn moves(&self, object: &str) -> bool {
        #[allow(clippy::cast_precision_loss, reason = "only the high bits matter")]
        let place = weight(object, "") as f64 / u64::MAX as f64;
        place < self.part
    }

    /// The part that moves.
    #[must_use]
    pub fn part(&self) -> f64 {
        self.part
    }
}

/// Part of a load that does not fit.
fn excess(load: f64) -> f64 {
    if load.is_finite() && load > BUSY {
        1.0 - BUSY / load
    } else {
        0.0
    }
}
