//! The list of customers in a configuration, before it is checked.

use crate::Customer;

/// Why a customer's requests cannot be served. The texts never contain a key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A value is missing or has the wrong type.
    #[error("{0} cannot be read")]
    Field(&'static str),
    /// The row has another number of values than there are columns.
    #[error("the number of values is not that of the columns")]
    ColumnCount,
    /// Targets could not be told the name.
    #[error("the name is empty or not printable ASCII")]
    Name,
    /// No request could carry the key.
    #[error("a key is empty, too long or not printable ASCII")]
    Key,
    /// A rate or burst is negative or not finite.
    #[error("the rate limit is negative or not a number")]
    RateLimit,
    /// Another row has the same name.
    #[error("two customers have this name")]
    DuplicateName,
    /// Another customer holds the same key. The others of its keys are not affected.
    #[error("another customer holds one of its keys")]
    SharedKey,
    /// The list is not a list of rows.
    #[error("the list of customers cannot be read")]
    List,
}

/// One row of the list.
#[derive(Clone, PartialEq)]
pub struct Row {
    /// Name of the customer; empty if it cannot be read.
    pub name: String,
    /// Keys of the customer, as far as they can be read.
    pub keys: Vec<String>,
    /// The rest of the row.
    pub customer: Result<Customer, Fault>,
}

/// The list of customers.
#[derive(Clone, PartialEq)]
pub struct Listing {
    /// The rows, or why there are none.
    pub rows: Result<Vec<Row>, Fault>,
}
