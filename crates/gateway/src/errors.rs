//! Errors of this crate.

use std::{io, net::SocketAddr};

/// Why a call to the platform's store brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// No answer in time, or none at all; a write may have taken effect.
    #[error("no answer from the store: {0}")]
    NoResponse(String),
    /// The store refused the call and did nothing.
    #[error("the store refused the call with status {0}")]
    Rejected(u16),
    /// The history from the version asked for is no longer held.
    #[error("the store no longer holds that history")]
    HistoryTruncated,
    /// A precondition did not hold.
    #[error("a precondition of the write did not hold")]
    Conflict,
    /// The answer cannot be read.
    #[error("the store's answer cannot be read: {0}")]
    Malformed(String),
}

/// Why the process cannot start or go on.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The settings cannot be read anew.
    #[error("settings cannot be read: {0}")]
    Settings(String),
    /// A signal cannot be waited for.
    #[error("signals cannot be received: {0}")]
    Signal(io::Error),
    /// The log cannot be set up.
    #[error("the log cannot be set up: {0}")]
    Log(String),
    /// Metrics cannot be set up.
    #[error("metrics cannot be set up: {0}")]
    Metrics(String),
}
