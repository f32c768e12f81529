//! Judges callers' records against the log of runs.

use {
    stand::{
        caller::{Record, Status},
        upstream::Run,
    },
    wire::Map,
};

/// What the records and the log say together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Audit {
    /// Requests that callers made.
    pub sent: usize,
    /// Whole own answers.
    pub answered: usize,
    /// Requests that did not run, as told.
    pub not_run: usize,
    /// Requests that may have run, as told.
    pub may_have_run: usize,
    /// Requests without any answer.
    pub unanswered: usize,
    /// Answers that were cut or another's.
    pub wrong_answers: usize,
    /// Keys that ran more than once.
    pub duplicate_run_keys: Vec<String>,
    /// Keys that ran although their caller was told that they did not.
    pub false_refusal_keys: Vec<String>,
    /// Keys that never ran although their caller got an answer.
    pub false_answer_keys: Vec<String>,
    /// Runs that began when the target's slots were taken.
    pub runs_over_slots: usize,
}

impl Audit {
    /// Judges.
    #[must_use]
    pub fn from_records(records: &[Record], runs: &[Run]) -> Self {
        let mut counts: Map<&str, usize> = Map::default();
        for run in runs.iter().filter(|run| !run.key.is_empty()) {
            *counts.entry(&run.key).or_default() += 1;
        }
        let count = |wanted: Status| {
            records
                .iter()
                .filter(|record| record.status == wanted)
                .count()
        };
        let ran = |record: &Record| counts.contains_key(record.key.as_str());
        let keys = |wanted: &dyn Fn(&Record) -> bool| -> Vec<String> {
            let keyed = records.iter().filter(|record| !record.key.is_empty());
            keyed.filter(|r| wanted(r)).map(|r| r.key.clone()).collect()
        };
        let mut duplicate_run_keys: Vec<String> = counts
            .iter()
            .filter(|(_, count)| **count > 1)
            .map(|(key, _)| (*key).to_owned())
            .collect();
        duplicate_run_keys.sort();
        Self {
            sent: records.len(),
            answered: count(Status::Answered),
            not_run: count(Status::NotRun),
            may_have_run: count(Status::MayHaveRun),
            unanswered: count(Status::NoAnswer),
            wrong_answers: count(Status::WrongAnswer),
            duplicate_run_keys,
            false_refusal_keys: keys(&|record| record.status == Status::NotRun && ran(record)),
            false_answer_keys: keys(&|record| record.status == Status::Answered && !ran(record)),
            runs_over_slots: runs.iter().filter(|run| run.running > run.slots).count(),
        }
    }

    /// Whether every promise held that this verdict can judge.
    #[must_use]
    pub fn guarantees_hold(&self) -> bool {
        self.wrong_answers == 0
            && self.duplicate_run_keys.is_empty()
            && self.false_refusal_keys.is_empty()
            && self.false_answer_keys.is_empty()
            && self.runs_over_slots == 0
    }
}
