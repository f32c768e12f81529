//! Structure of the VM file. Field names are the keys of the file.

use serde::Deserialize;

/// Parsed VM file before validation.
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
    pub(crate) peers: Vec<RawSeedPeer>,
}

/// A VM to contact before the platform's list is known.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSeedPeer {
    pub(crate) name: String,
    pub(crate) address: String,
}
