//! Which part of a zone's objects is served in other regions.

use std::time::Duration;

use crate::weight;

/// Load of the zone's own targets, as a part of their slots, above which more objects move
/// away, and below which they come back.
const BUSY: f64 = 0.8;
const IDLE: f64 = 0.45;
/// Part of the allowed change in a window that is used, and the window it is stated for.
const PACE: f64 = 0.6;
const WINDOW_S: f64 = 2.0;
/// Objects come back at this part of the pace: they leave targets that know them.
const RETURN: f64 = 0.25;
/// Load of the targets that is planned for before there is a measurement.
const PLANNED: f64 = 0.77;
/// Longest step of time that is taken at once.
const MAX_STEP_S: f64 = 0.25;

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
        let capacity = share * regions / PLANNED;
        Self {
            part: (1.0 - capacity).clamp(0.0, 1.0),
            at: now,
        }
    }

    /// Takes the load of the zone's own targets; `max_shift` bounds the change in a window.
    pub fn update(&mut self, load: f64, max_shift: f64, now: Duration) {
        let step = now.saturating_sub(self.at).as_secs_f64().min(MAX_STEP_S);
        self.at = now;
        let pace = max_shift * PACE / WINDOW_S * step;
        if load > BUSY {
            self.part = (self.part + pace).min(1.0);
        } else if load < IDLE {
            self.part = (self.part - pace * RETURN).max(0.0);
        }
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
