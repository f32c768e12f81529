//! Loads of pools as their owners report them.

use {
    std::time::Duration,
    wire::{Map, Pool},
};

const TELLINGS: u32 = 12;
/// Age at which a report no longer says anything about the wait.
const STALE_AFTER: Duration = Duration::from_secs(3);

struct Held {
    report: Pool,
    at: Duration,
    told: u32,
}

/// The newest report of each pool.
#[derive(Default)]
pub(crate) struct Reports {
    held: Map<String, Held>,
}

impl Reports {
    /// Takes a report if it is newer than the one held.
    pub(crate) fn take(&mut self, report: &Pool, now: Duration) {
        let name = steer::pool_name(&report.service, &report.site);
        let older = self.held.get(&name).is_some_and(|held| {
            let same_owner = held.report.owner == report.owner;
            same_owner && held.report.beat >= report.beat
        });
        if older {
            return;
        }
        let held = Held {
            report: report.clone(),
            at: now,
            told: 0,
        };
        self.held.insert(name, held);
    }

    /// Reported wait of a pool; none when the report is missing or stale.
    pub(crate) fn wait_ms(&self, service: &str, site: &str, now: Duration) -> Option<u32> {
        let held = self.held.get(&steer::pool_name(service, site))?;
        let fresh = now.saturating_sub(held.at) < STALE_AFTER;
        fresh.then_some(held.report.wait_ms)
    }

    /// The least told reports, at most `most`.
    pub(crate) fn news(&mut self, most: usize) -> Vec<Pool> {
        let fresh = self.held.values_mut().filter(|held| held.told < TELLINGS);
        let mut fresh: Vec<&mut Held> = fresh.collect();
        fresh.sort_by_key(|held| held.told);
        let mut out = Vec::new();
        for held in fresh.into_iter().take(most) {
            held.told += 1;
            out.push(held.report.clone());
        }
        out
    }

    /// Every report, for the dump.
    pub(crate) fn all(&self) -> Vec<&Pool> {
        self.held.values().map(|held| &held.report).collect()
    }
}
