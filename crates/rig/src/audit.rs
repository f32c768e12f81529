//! Comparison of the outcomes that callers saw with the requests that targets ran.

use {
    stand::{
        caller::{Record, Status},
        upstream::Run,
    },
    wire::Map,
};

/// Counts of outcomes, and violations of the guarantees given to callers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// Number of requests that callers made; resends are not counted.
    pub sent: usize,
    /// Number of requests with a complete response of their own.
    pub answered: usize,
    /// Number of requests whose refusal states that they did not run.
    pub not_run: usize,
    /// Number of requests whose refusal states that they may have run.
    pub may_have_run: usize,
    /// Number of requests without a complete response.
    pub unanswered: usize,
    /// Number of requests whose response was truncated or belongs to another request.
    pub wrong_responses: usize,
    /// Idempotency keys that ran more than once, sorted.
    pub duplicate_run_keys: Vec<String>,
    /// Idempotency keys that ran although a refusal states that they did not.
    pub false_not_run_keys: Vec<String>,
    /// Idempotency keys that never ran although their request got a response.
    pub false_response_keys: Vec<String>,
    /// Number of runs that exceeded the slots of their target.
    pub runs_over_slots: usize,
}

impl Audit {
    /// Compares the records of the callers with the runs of the targets.
    #[must_use]
    pub fn from_records(records: &[Record], runs: &[Run]) -> Self {
        let mut run_counts: Map<&str, usize> = Map::default();
        for run in runs.iter().filter(|run| !run.key.is_empty()) {
            *run_counts.entry(&run.key).or_default() += 1;
        }
        let count_status = |status: Status| {
            records
                .iter()
                .filter(|record| record.status == status)
                .count()
        };
        let has_run = |record: &Record| run_counts.contains_key(record.key.as_str());
        let keys_where = |matches: &dyn Fn(&Record) -> bool| -> Vec<String> {
            let keyed = records.iter().filter(|record| !record.key.is_empty());
            keyed
                .filter(|r| matches(r))
                .map(|r| r.key.clone())
                .collect()
        };
        let mut duplicate_run_keys: Vec<String> = run_counts
            .iter()
            .filter(|(_, count)| **count > 1)
            .map(|(key, _)| (*key).to_owned())
            .collect();
        duplicate_run_keys.sort();
        Self {
            sent: records.len(),
            answered: count_status(Status::Answered),
            not_run: count_status(Status::NotRun),
            may_have_run: count_status(Status::MayHaveRun),
            unanswered: count_status(Status::NoResponse),
            wrong_responses: count_status(Status::WrongResponse),
            duplicate_run_keys,
            false_not_run_keys: keys_where(&|r| r.status == Status::NotRun && has_run(r)),
            false_response_keys: keys_where(&|r| r.status == Status::Answered && !has_run(r)),
            runs_over_slots: runs.iter().filter(|run| run.running > run.slots).count(),
        }
    }

    /// Returns whether no violation was found. Refused and unanswered requests are none.
    #[must_use]
    pub fn guarantees_hold(&self) -> bool {
        self.wrong_responses == 0
            && self.duplicate_run_keys.is_empty()
            && self.false_not_run_keys.is_empty()
            && self.false_response_keys.is_empty()
            && self.runs_over_slots == 0
    }
}
