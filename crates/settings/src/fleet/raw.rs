//! Structure of the fleet file. Field names are the keys of the file.

use {serde::Deserialize, std::collections::BTreeMap};

/// Parsed fleet file before validation.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawFleet {
    pub(crate) firm: String,
    pub(crate) regions: Vec<RawRegion>,
    pub(crate) sites: Vec<RawSite>,
    #[serde(default)]
    pub(crate) links: Vec<RawLink>,
    #[serde(default)]
    pub(crate) clients: Vec<RawClientBlock>,
    pub(crate) services: Vec<RawService>,
    pub(crate) presets: Vec<RawPreset>,
    pub(crate) first_preset: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRegion {
    pub(crate) name: String,
    pub(crate) requests_per_s: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawSite {
    pub(crate) name: String,
    pub(crate) region: String,
    pub(crate) zones: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawLink {
    pub(crate) from: String,
    pub(crate) to: String,
    pub(crate) one_way_ms: u32,
    pub(crate) requests_per_s: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawClientBlock {
    pub(crate) block: String,
    pub(crate) region: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawService {
    pub(crate) name: String,
    pub(crate) operations: Vec<RawOperation>,
    pub(crate) targets: Vec<RawTarget>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawOperation {
    pub(crate) name: String,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) idempotent: bool,
    pub(crate) timeout_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawTarget {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) address: String,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawPreset {
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) shares: Vec<RawShare>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawShare {
    pub(crate) service: String,
    pub(crate) expected_requests_per_s: u32,
    pub(crate) sites: BTreeMap<String, u32>,
    #[serde(default)]
    pub(crate) shift_caps_requests_per_s: BTreeMap<String, u32>,
}
