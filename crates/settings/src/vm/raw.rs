//! The VM file as it is written.

use serde::Deserialize;

/// The VM file before any check.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawVm {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) fleet: String,
    pub(crate) caller: String,
    pub(crate) peer: String,
    pub(crate) operator: String,
    pub(crate) platform: String,
    pub(crate) operator_token: String,
    #[serde(default)]
    pub(crate) peers: Vec<RawPeer>,
}

/// A VM to ask first, before the platform's list is known.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPeer {
    pub(crate) name: String,
    pub(crate) address: String,
}
