//! The table service port.

use {
    crate::Call,
    serde::{Deserialize, Serialize},
};

/// A row with the version that the table service gave it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Raised by the table service at each write of the row.
    pub version: u64,
    /// What was written.
    pub value: String,
}

/// What must hold for an operation to take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// There is no row under the key.
    Absent,
    /// The row has this version.
    Version(u64),
}

/// What an operation does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Writes the row.
    Put(String),
    /// Removes the row.
    Delete,
}

/// One conditional operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// Key of the row.
    pub key: String,
    /// What must hold.
    #[serde(rename = "when")]
    pub condition: Condition,
    /// What it does then.
    #[serde(rename = "then")]
    pub effect: Effect,
}

/// What became of one operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OpResult {
    /// It took effect and the row has this version.
    Applied(u64),
    /// Its condition did not hold; this is the row, if there is one.
    Refused(Option<Row>),
}

/// Rows to remove.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// First key.
    pub from: String,
    /// Key at which the range ends; itself not in it.
    pub to: String,
    /// Most rows to remove.
    #[serde(rename = "most")]
    pub limit: u32,
}

/// Rows by key. The operations of one commit take effect together, each only if
/// its own condition holds.
#[derive(Clone)]
pub struct Table {
    /// Commits operations as one write.
    pub commit: Call<Vec<Op>, Vec<OpResult>>,
    /// Reads rows as one read.
    pub get: Call<Vec<String>, Vec<Option<Row>>>,
    /// Removes rows as one write, and returns how many.
    pub delete_range: Call<Range, u32>,
}
