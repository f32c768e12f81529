//! The port to the platform's list of VMs, which lags.

use {
    crate::Call,
    serde::{Deserialize, Serialize},
};

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Name of the VM.
    pub name: String,
    /// Availability zone it stands in.
    pub zone: String,
    /// Address for other VMs.
    pub peer: String,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// The platform's list of live and leaving VMs.
#[derive(Clone)]
pub struct Vms {
    /// Reads the list.
    pub list: Call<(), Vec<VmInfo>>,
}
