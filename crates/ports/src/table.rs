//! The table service port.

use {
    crate::Call,
    serde::{Deserialize, Serialize},
};

/// A row and the version that the table service assigned to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Version of the row; the table service raises it on every write.
    pub version: u64,
    /// Value as it was last written.
    pub value: String,
}

/// Precondition of an operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// No row exists under the key.
    Absent,
    /// The row exists and has this version.
    Version(u64),
}

/// Effect of an operation whose condition holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Writes this value to the row.
    Put(String),
    /// Deletes the row.
    Delete,
}

/// A conditional write of one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Op {
    /// Key of the row to write.
    pub key: String,
    /// Condition under which the operation takes effect.
    #[serde(rename = "when")]
    pub condition: Condition,
    /// Effect of the operation.
    #[serde(rename = "then")]
    pub effect: Effect,
}

/// Result of one operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OpResult {
    /// The operation took effect; the row now has this version.
    Applied(u64),
    /// The condition did not hold; the current row is returned, if one exists.
    Refused(Option<Row>),
}

/// Half-open range of keys whose rows are deleted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// First key of the range, inclusive.
    pub from: String,
    /// End of the range, exclusive.
    pub to: String,
    /// Maximum number of rows to delete in one call.
    #[serde(rename = "most")]
    pub limit: u32,
}

/// Key-value table. The operations of one commit take effect atomically, but each of them
/// only if its own condition holds.
#[derive(Clone)]
pub struct Table {
    /// Commits the operations in one write; returns one result per operation, in order.
    pub commit: Call<Vec<Op>, Vec<OpResult>>,
    /// Reads the rows of the keys in one read; returns one entry per key, in order.
    pub get: Call<Vec<String>, Vec<Option<Row>>>,
    /// Deletes the rows of a key range in one write; returns the number of deleted rows.
    pub delete_range: Call<Range, u32>,
}
