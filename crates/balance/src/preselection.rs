//! Narrows the targets of a service down to those that a key may be sent to.
//!
//! With hundreds of targets, estimating the load of each for every decision would take most of the
//! processor time of a VM. Targets of one region have the same weight, so their order follows from
//! the hashes alone.

use {crate::rendezvous_weight, catalog::Target};

/// Targets kept for each side, in turn, until enough of them are eligible. More than are tried, as
/// some may be ejected or cold.
pub const PRESELECTION_SIZES: [usize; 3] = [4, 32, usize::MAX];
/// Targets that a side needs for a decision, if it has as many.
const MIN_TARGETS_PER_SIDE: usize = 2;

/// The most preferred targets of this region, or of the other regions, for one key.
#[derive(Debug, Clone, Default)]
pub struct Side<'a> {
    /// Hashes and targets, the most preferred first.
    ranked: Vec<(u64, &'a Target)>,
    is_truncated: bool,
}

/// The most preferred targets for one key.
#[derive(Debug, Clone, Default)]
pub struct Preselection<'a> {
    /// Targets of this region.
    pub local: Side<'a>,
    /// Targets of other regions.
    pub remote: Side<'a>,
}

impl<'a> Side<'a> {
    fn add(&mut self, hash: u64, target: &'a Target, max_targets: usize) {
        let position = self.ranked.partition_point(|(other, _)| *other >= hash);
        if position < max_targets {
            self.ranked.insert(position, (hash, target));
        }
        if self.ranked.len() > max_targets || position == max_targets {
            self.ranked.truncate(max_targets);
            self.is_truncated = true;
        }
    }

    /// Returns the targets, the most preferred first.
    pub fn targets(&self) -> impl Iterator<Item = &'a Target> + '_ {
        self.ranked.iter().map(|(_, target)| *target)
    }

    /// Returns whether `eligible_count` of these targets are enough, or all that there are.
    #[must_use]
    pub fn suffices(&self, eligible_count: usize) -> bool {
        !self.is_truncated || eligible_count >= MIN_TARGETS_PER_SIDE
    }
}

/// Selects the most preferred targets for a key, at most `max_targets` on each side. `targets` states for each whether it is in another
/// region.
#[must_use]
pub fn preselect_targets<'a>(
    key: &str,
    targets: impl Iterator<Item = (&'a Target, bool)>,
    max_targets: usize,
) -> Preselection<'a> {
    let mut preselection = Preselection::default();
    for (target, is_remote) in targets {
        let side = if is_remote {
            &mut preselection.remote
        } else {
            &mut preselection.local
        };
        side.add(rendezvous_weight(key, &target.id), target, max_targets);
    }
    preselection
}
