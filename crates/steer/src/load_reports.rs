//! Load reports of pools, which their owners spread by gossip.

use {
    crate::pool_name,
    std::time::Duration,
    wire::{Map, Pool},
};

/// Number of gossip messages that carry one report.
const MAX_TRANSMISSIONS: u32 = 12;
/// Age at which a report is too old to estimate the wait from.
const REPORT_TTL: Duration = Duration::from_secs(3);

/// A report with its time of arrival and the number of gossip messages that carried it.
#[derive(Debug)]
struct ReceivedReport {
    report: Pool,
    received_at: Duration,
    transmissions: u32,
}

/// The expected wait that a pool's owner stated when it refused a request of this VM.
#[derive(Debug)]
struct Refusal {
    wait: Duration,
    received_at: Duration,
}

/// The newest report and the last refusal of each pool, keyed by pool name.
#[derive(Debug, Default)]
pub struct LoadReports {
    received: Map<String, ReceivedReport>,
    refusals: Map<String, Refusal>,
}

impl LoadReports {
    /// Stores a report unless the stored one comes from the same owner and is at least as new: of
    /// a newer incarnation, or of the same one with a sequence number as high.
    pub fn accept(&mut self, report: &Pool, now: Duration) {
        let name = pool_name(&report.service, &report.site);
        let is_outdated = self.received.get(&name).is_some_and(|received| {
            let same_owner = received.report.owner == report.owner;
            same_owner && order(&received.report) >= order(report)
        });
        if is_outdated {
            return;
        }
        let received = ReceivedReport {
            report: report.clone(),
            received_at: now,
            transmissions: 0,
        };
        self.received.insert(name, received);
    }

    /// Records the wait that an owner stated when it refused a request.
    pub fn record_refusal(&mut self, service: &str, site: &str, wait: Duration, now: Duration) {
        let refusal = Refusal {
            wait,
            received_at: now,
        };
        self.refusals.insert(pool_name(service, site), refusal);
    }

    /// Returns the expected wait in a pool from its owner's last refusal or report,
    /// whichever is newer, or `None` if both are missing or stale.
    ///
    /// A refusal is valid until the wait that it stated has passed; the remainder is returned.
    #[must_use]
    pub fn expected_wait(&self, service: &str, site: &str, now: Duration) -> Option<Duration> {
        let name = pool_name(service, site);
        let received = self
            .received
            .get(&name)
            .filter(|received| now.saturating_sub(received.received_at) < REPORT_TTL);
        let refusal = self
            .refusals
            .get(&name)
            .filter(|refusal| now < refusal.received_at + refusal.wait);
        match (refusal, received) {
            (Some(refusal), Some(received)) if refusal.received_at < received.received_at => {
                Some(reported_wait(received))
            }
            (Some(refusal), _) => Some(
                refusal
                    .wait
                    .saturating_sub(now.saturating_sub(refusal.received_at)),
            ),
            (None, received) => received.map(reported_wait),
        }
    }

    /// Returns up to `max_reports` reports for a gossip message, those transmitted least
    /// first, and counts the transmission.
    pub fn take_updates(&mut self, max_reports: usize) -> Vec<Pool> {
        let pending = self
            .received
            .values_mut()
            .filter(|received| received.transmissions < MAX_TRANSMISSIONS);
        let mut pending: Vec<&mut ReceivedReport> = pending.collect();
        pending.sort_by_key(|received| received.transmissions);
        let mut updates = Vec::new();
        for received in pending.into_iter().take(max_reports) {
            received.transmissions += 1;
            updates.push(received.report.clone());
        }
        updates
    }

    /// Returns every stored report, for the state dump.
    #[must_use]
    pub fn all(&self) -> Vec<&Pool> {
        self.received
            .values()
            .map(|received| &received.report)
            .collect()
    }
}

/// Returns the order of a report among those of its owner: by incarnation, then by number.
fn order(report: &Pool) -> (u64, u64) {
    (report.boot_ms, report.beat)
}

fn reported_wait(received: &ReceivedReport) -> Duration {
    Duration::from_millis(u64::from(received.report.wait_ms))
}
