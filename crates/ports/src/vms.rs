//! The port to the platform's list of VMs. The list is eventually consistent.

use {
    crate::Call,
    serde::{Deserialize, Serialize},
};

/// A VM as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address at which other VMs reach it, as `IP:PORT`.
    pub peer: String,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// Access to the platform's list of VMs that are running or about to be removed.
#[derive(Clone)]
pub struct Vms {
    /// Returns the current list.
    pub list: Call<(), Vec<VmInfo>>,
}
