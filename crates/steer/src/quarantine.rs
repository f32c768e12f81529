//! Stops a request that crashes the targets that run it.

use {std::time::Duration, wire::Map};

/// Crash-like ends after which a request is refused.
pub const CRASH_LIMIT: u32 = 2;
const RETENTION: Duration = Duration::from_mins(1);

#[derive(Debug, Clone, Copy)]
struct Record {
    count: u32,
    expires: Duration,
    /// Answered since its last crash-like end, so others' counts do not bind.
    answered: bool,
}

/// Counts crash-like ends by the fingerprint of the request.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: Map<String, Record>,
}

impl Quarantine {
    /// Notes a crash-like end and returns the count so far.
    pub fn record_crash(&mut self, fingerprint: &str, now: Duration) -> u32 {
        self.remove_expired(now);
        let record = self
            .records
            .entry(fingerprint.to_owned())
            .or_insert(Record {
                count: 0,
                expires: now,
                answered: false,
            });
        record.count += 1;
        record.expires = now + RETENTION;
        record.count
    }

    /// Notes an answer: the request only shared a target with one that crashed it.
    pub fn record_success(&mut self, fingerprint: &str) {
        if let Some(record) = self.records.get_mut(fingerprint) {
            record.count = 0;
            record.answered = true;
        }
    }

    /// Takes over what another VM counted, when that is more.
    pub fn merge(&mut self, fingerprint: &str, count: u32, left: Duration, now: Duration) {
        let left = left.min(RETENTION);
        let known = self.records.get(fingerprint);
        let counted = known.map_or(0, |record| record.count);
        let answered = known.is_some_and(|record| record.answered && now < record.expires);
        if count > counted && !answered {
            let record = Record {
                count,
                expires: now + left,
                answered: false,
            };
            self.records.insert(fingerprint.to_owned(), record);
        }
    }

    /// Crash-like ends counted so far.
    #[must_use]
    pub fn crash_count(&self, fingerprint: &str) -> u32 {
        self.records
            .get(fingerprint)
            .map_or(0, |record| record.count)
    }

    /// Time until the request may be tried again, when it is refused now.
    #[must_use]
    pub fn blocked_for(&self, fingerprint: &str, now: Duration) -> Option<Duration> {
        let record = self.records.get(fingerprint)?;
        let live = record.count >= CRASH_LIMIT && now < record.expires;
        live.then(|| record.expires.saturating_sub(now))
    }

    /// Everything that is counted: fingerprint, count and time left.
    #[must_use]
    pub fn records(&self, now: Duration) -> Vec<(&str, u32, Duration)> {
        let live = self
            .records
            .iter()
            .filter(|(_, r)| now < r.expires && r.count > 0);
        live.map(|(f, r)| (f.as_str(), r.count, r.expires.saturating_sub(now)))
            .collect()
    }

    fn remove_expired(&mut self, now: Duration) {
        self.records.retain(|_, record| now < record.expires);
    }
}
