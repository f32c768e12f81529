//! State of the stand-in platform and its fault configuration.

use {
    ports::{Condition, Effect, Op, OpResult, Range, Row, VmInfo},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Availability of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Handles every call.
    #[default]
    Up,
    /// Refuses every call with status 503.
    Down,
    /// Stalls every call and then refuses it, without effect.
    Hang,
}

/// Fault configuration of the platform.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultConfig {
    /// Availability of the platform.
    pub mode: Mode,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming commits that take effect but whose responses are lost.
    #[serde(rename = "lose_answers")]
    pub lose_responses: u32,
    /// Number of upcoming commits that are lost before they take effect, without a response.
    pub lose_commits: u32,
}

/// Numbers of calls since the start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Commits, deletions of ranges and object writes.
    pub writes: u64,
    /// Reads of rows, objects and the VM list.
    pub reads: u64,
}

/// State of the platform: rows, objects and VMs.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) rows: BTreeMap<String, Row>,
    pub(crate) objects: BTreeMap<String, Vec<u8>>,
    pub(crate) vms: Vec<VmInfo>,
    pub(crate) fault: FaultConfig,
    pub(crate) stats: Stats,
    last_version: u64,
    /// Rows and last version at the time of the snapshot.
    snapshot: (BTreeMap<String, Row>, u64),
}

impl Store {
    /// Keeps a snapshot of the rows, from which the store may be restored.
    pub(crate) fn take_snapshot(&mut self) {
        self.snapshot = (self.rows.clone(), self.last_version);
    }

    /// Replaces the rows by those of the snapshot. Versions are given out again.
    pub(crate) fn restore_snapshot(&mut self) {
        (self.rows, self.last_version) = self.snapshot.clone();
    }

    pub(crate) fn commit(&mut self, ops: Vec<Op>) -> Vec<OpResult> {
        self.stats.writes += 1;
        ops.into_iter().map(|op| self.apply(op)).collect()
    }

    pub(crate) fn get(&mut self, keys: &[String]) -> Vec<Option<Row>> {
        self.stats.reads += 1;
        keys.iter().map(|key| self.rows.get(key).cloned()).collect()
    }

    pub(crate) fn delete_range(&mut self, range: &Range) -> u32 {
        self.stats.writes += 1;
        let rows = self.rows.range(range.from.clone()..range.to.clone());
        let keys: Vec<String> = rows
            .take(range.limit as usize)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.rows.remove(key);
        }
        u32::try_from(keys.len()).unwrap_or(u32::MAX)
    }

    fn apply(&mut self, op: Op) -> OpResult {
        let current = self.rows.get(&op.key);
        let condition_holds = match op.condition {
            Condition::Absent => current.is_none(),
            Condition::Version(version) => current.is_some_and(|row| row.version == version),
        };
        if !condition_holds {
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
