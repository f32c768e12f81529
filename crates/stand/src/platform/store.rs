//! What the platform keeps, and how it fails.

use {
    ports::{Condition, Effect, Op, OpResult, Range, Row, VmInfo},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// How the platform behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Answers at once.
    #[default]
    Up,
    /// Refuses every call.
    Down,
    /// Takes calls and never answers nor acts.
    Hang,
}

/// A failure to put in force.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fault {
    /// How the platform behaves.
    pub mode: Mode,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Commits to come whose answers are lost after their effect.
    pub lose_answers: u32,
    /// Commits to come that vanish before their effect, their answers with them.
    pub lose_commits: u32,
}

/// Calls counted since the start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Commits and sweeps.
    pub writes: u64,
    /// Reads of rows, objects and lists.
    pub reads: u64,
}

/// Rows, objects and VMs.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) rows: BTreeMap<String, Row>,
    pub(crate) objects: BTreeMap<String, Vec<u8>>,
    pub(crate) vms: Vec<VmInfo>,
    pub(crate) fault: Fault,
    pub(crate) stats: Stats,
    last_version: u64,
}

impl Store {
    pub(crate) fn commit(&mut self, ops: Vec<Op>) -> Vec<OpResult> {
        self.stats.writes += 1;
        ops.into_iter().map(|op| self.apply(op)).collect()
    }

    pub(crate) fn get(&mut self, keys: &[String]) -> Vec<Option<Row>> {
        self.stats.reads += 1;
        keys.iter().map(|key| self.rows.get(key).cloned()).collect()
    }

    pub(crate) fn sweep(&mut self, wanted: &Range) -> u32 {
        self.stats.writes += 1;
        let range = self.rows.range(wanted.from.clone()..wanted.to.clone());
        let keys: Vec<String> = range
            .take(wanted.limit as usize)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.rows.remove(key);
        }
        u32::try_from(keys.len()).unwrap_or(u32::MAX)
    }

    fn apply(&mut self, op: Op) -> OpResult {
        let current = self.rows.get(&op.key);
        let holds = match op.condition {
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current.is_some_and(|row| row.version == version),
        };
        if !holds {
            return OpResult::Refused(current.cloned());
        }
        self.last_version += 1;
        match op.effect {
            Effect::Put(value) => {
                let row = Row {
                    version: self.last_version,
                    value,
                };
                self.rows.insert(op.key, row);
            }
            Effect::Delete => {
                self.rows.remove(&op.key);
            }
        }
        OpResult::Applied(self.last_version)
    }
}
