//! Quarantine for requests that crash the targets that run them.

use {
    std::{ops::Range, time::Duration},
    wire::Map,
};

/// Suspected crashes after which a request is refused.
pub const QUARANTINE_CRASH_THRESHOLD: u32 = 2;
/// How long a count is kept after the last suspected crash.
const RETENTION: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Copy)]
struct Record {
    count: u32,
    /// When the exchange ended that raised the count last, or the count of another VM was heard.
    raised_at: Duration,
    expires_at: Duration,
    /// Whether the request has been answered since its last crash here; the counts of other
    /// VMs are ignored then.
    answered: bool,
}

/// Counts suspected crashes by request fingerprint.
///
/// A suspected crash is an exchange that ended as if the target had crashed.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: Map<String, Record>,
}

impl Quarantine {
    /// Counts a suspected crash, seen by the end of an exchange. Returns the count, this one included, or
    /// `None` if the exchange began before the count was raised last: one crash may end several
    /// exchanges with the same content, at several VMs.
    pub fn record_crash(
        &mut self,
        fingerprint: &str,
        exchange: &Range<Duration>,
        now: Duration,
    ) -> Option<u32> {
        self.remove_expired(now);
        let known = self.records.get(fingerprint);
        if known.is_some_and(|record| record.count > 0 && exchange.start < record.raised_at) {
            return None;
        }
        let record = self
            .records
            .entry(fingerprint.to_owned())
            .or_insert(Record {
                count: 0,
                raised_at: now,
                expires_at: now,
                answered: false,
            });
        record.count += 1;
        record.raised_at = exchange.end;
        record.expires_at = now + RETENTION;
        Some(record.count)
    }

    /// Records a response, which clears the count: the request was only running on a target
    /// that another request crashed.
    pub fn record_success(&mut self, fingerprint: &str) {
        if let Some(record) = self.records.get_mut(fingerprint) {
            record.count = 0;
            record.answered = true;
        }
    }

    /// Adopts the count of another VM when it is higher, unless the request has been
    /// answered here. `left` is the time until that count expires, at most a minute.
    pub fn merge(&mut self, fingerprint: &str, count: u32, left: Duration, now: Duration) {
        let left = left.min(RETENTION);
        let known = self.records.get(fingerprint);
        let known_count = known.map_or(0, |record| record.count);
        let answered = known.is_some_and(|record| record.answered && now < record.expires_at);
        if count > known_count && !answered {
            let record = Record {
                count,
                raised_at: now,
                expires_at: now + left,
                answered: false,
            };
            self.records.insert(fingerprint.to_owned(), record);
        }
    }

    /// Returns the suspected crashes counted so far.
    #[must_use]
    pub fn crash_count(&self, fingerprint: &str) -> u32 {
        self.records
            .get(fingerprint)
            .map_or(0, |record| record.count)
    }

    /// Returns how long the request stays in quarantine, or `None` when it may be sent.
    #[must_use]
    pub fn remaining_time(&self, fingerprint: &str, now: Duration) -> Option<Duration> {
        let record = self.records.get(fingerprint)?;
        let is_active = record.count >= QUARANTINE_CRASH_THRESHOLD && now < record.expires_at;
        is_active.then(|| record.expires_at.saturating_sub(now))
    }

    /// Returns the fingerprint, the count and the time until expiry of each active record.
    #[must_use]
    pub fn records(&self, now: Duration) -> Vec<(&str, u32, Duration)> {
        let active = self
            .records
            .iter()
            .filter(|(_, record)| now < record.expires_at && record.count > 0);
        active
            .map(|(fingerprint, record)| {
                (
                    fingerprint.as_str(),
                    record.count,
                    record.expires_at.saturating_sub(now),
                )
            })
            .collect()
    }

    fn remove_expired(&mut self, now: Duration) {
        self.records.retain(|_, record| now < record.expires_at);
    }
}
