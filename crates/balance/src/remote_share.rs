//! Share of a route's requests that prefer another region, which changes at a bounded speed.

use std::time::Duration;

/// Largest share, so that a weight can be derived from it.
pub(crate) const MAX_SHARE: f64 = 0.98;
/// Longest time without requests that counts, so that the share does not jump after a pause.
const MAX_ELAPSED_S: f64 = 0.5;

/// Numbers of targets that may run a request, in this region and in the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetCounts {
    /// Targets in this region.
    pub local: usize,
    /// Targets in other regions.
    pub remote: usize,
}

/// The share of a route's requests whose most preferred target is in another region.
///
/// What it follows may jump: an estimated running time that crosses a bound, or targets of a region
/// that leave or become unreachable, which all VMs notice at the same time. The other regions have to
/// have time to react, so the share follows at a bounded speed.
#[derive(Debug, Clone, Copy)]
pub struct RemoteShare {
    share: f64,
    updated_at: Duration,
}

impl RemoteShare {
    /// Creates a share that begins at the one that results from a weight.
    #[must_use]
    pub fn new(weight: f64, counts: TargetCounts, now: Duration) -> Self {
        Self {
            share: share_of(weight, counts),
            updated_at: now,
        }
    }

    /// Moves the share towards the one that results from `desired` as the weight of a target in
    /// another region, by at most `max_speed` per second. Returns the weight that results in it.
    pub fn follow(
        &mut self,
        desired: f64,
        counts: TargetCounts,
        max_speed: f64,
        now: Duration,
    ) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at);
        let max_step = max_speed * elapsed.as_secs_f64().min(MAX_ELAPSED_S);
        let step = share_of(desired, counts) - self.share;
        self.share += step.clamp(-max_step, max_step);
        self.updated_at = now;
        weight_of(self.share, counts)
    }
}

/// Returns the share of the keys that prefer a target of another region, by weighted rendezvous
/// hashing against local targets of weight 1.
pub(crate) fn share_of(weight: f64, counts: TargetCounts) -> f64 {
    let remote = weight * to_f64(counts.remote);
    let total = remote + to_f64(counts.local);
    if total <= 0.0 {
        return 0.0;
    }
    (remote / total).min(MAX_SHARE)
}

/// Returns the weight that results in a share. It is at most that of a local target, so that few
/// targets do not get what many had.
pub(crate) fn weight_of(share: f64, counts: TargetCounts) -> f64 {
    if counts.remote == 0 {
        return 0.0;
    }
    if counts.local == 0 {
        return 1.0;
    }
    let weight = share * to_f64(counts.local) / ((1.0 - share) * to_f64(counts.remote));
    weight.min(1.0)
}

#[allow(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
