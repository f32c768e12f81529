//! Loads of pools as their owners report them.

use {
    super::PoolKey,
    std::time::Duration,
    wire::{Map, Pool},
};

const SENDS: u32 = 12;
/// Age at which a report no longer says anything about the wait.
const STALE_AFTER: Duration = Duration::from_secs(3);

struct Held {
    report: Pool,
    at: Duration,
    sends: u32,
}

/// A wait that this VM was sends by a pool's owner when it was refused.
struct Refusal {
    wait: Duration,
    at: Duration,
}

/// The newest report of each pool.
#[derive(Default)]
pub(crate) struct Reports {
    held: Map<String, Held>,
    refusals: Map<String, Refusal>,
}

impl Reports {
    /// Takes a report if it is newer than the one held.
    pub(crate) fn accept(&mut self, report: &Pool, now: Duration) {
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
            sends: 0,
        };
        self.held.insert(name, held);
    }

    /// Notes the wait with which an owner refused a request.
    pub(crate) fn record_refusal(&mut self, key: &PoolKey, wait: Duration, now: Duration) {
        let refusal = Refusal { wait, at: now };
        self.refusals
            .insert(steer::pool_name(&key.service, &key.site), refusal);
    }

    /// Expected wait in a pool, by its owner's last refusal or report; none when
    /// both are missing or stale.
    pub(crate) fn expected_wait(&self, key: &PoolKey, now: Duration) -> Option<Duration> {
        let name = steer::pool_name(&key.service, &key.site);
        let held = self
            .held
            .get(&name)
            .filter(|held| now.saturating_sub(held.at) < STALE_AFTER);
        let refusal = self
            .refusals
            .get(&name)
            .filter(|refusal| now < refusal.at + refusal.wait);
        match (refusal, held) {
            (Some(refusal), Some(held)) if refusal.at < held.at => Some(reported(held)),
            (Some(refusal), _) => Some(refusal.wait.saturating_sub(now.saturating_sub(refusal.at))),
            (None, held) => held.map(reported),
        }
    }

    /// The least sends reports, at most `most`.
    pub(crate) fn take_updates(&mut self, most: usize) -> Vec<Pool> {
        let fresh = self.held.values_mut().filter(|held| held.sends < SENDS);
        let mut fresh: Vec<&mut Held> = fresh.collect();
        fresh.sort_by_key(|held| held.sends);
        let mut out = Vec::new();
        for held in fresh.into_iter().take(most) {
            held.sends += 1;
            out.push(held.report.clone());
        }
        out
    }

    /// Every report, for the dump.
    pub(crate) fn all(&self) -> Vec<&Pool> {
        self.held.values().map(|held| &held.report).collect()
    }
}

fn reported(held: &Held) -> Duration {
    Duration::from_millis(u64::from(held.report.wait_ms))
}
