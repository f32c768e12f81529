//! Checks a VM file.

use {
    super::raw::RawVm,
    crate::ValidationError,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

const MIN_TOKEN_CHARS: usize = 16;

/// Settings of one VM: who it is, where it listens and whom it asks.
#[derive(Clone)]
pub struct Vm {
    /// Name of the VM, unique in the fleet.
    pub name: String,
    /// Availability zone the VM stands in.
    pub zone: String,
    /// Path of the fleet file.
    pub fleet_path: PathBuf,
    /// Listener for callers.
    pub caller_address: SocketAddr,
    /// Listener for the other VMs.
    pub peer_address: SocketAddr,
    /// Listener for operators.
    pub operator_address: SocketAddr,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Credential that operators present. Never logged and never dumped.
    pub operator_token: String,
    /// VMs to ask first, before the platform's list is known.
    pub seed_peers: Vec<SeedPeer>,
}

/// A VM to ask first.
#[derive(Debug, Clone)]
pub struct SeedPeer {
    /// Name of the VM.
    pub name: String,
    /// Its listener for other VMs.
    pub address: SocketAddr,
}

impl Vm {
    pub(crate) fn check(raw: RawVm, folder: &Path) -> Result<Self, Vec<ValidationError>> {
        let mut faults = Vec::new();
        let caller = address("caller", &raw.caller, &mut faults);
        let peer = address("peer", &raw.peer, &mut faults);
        let operator = address("operator", &raw.operator, &mut faults);
        let mut peers = Vec::new();
        for (i, one) in raw.peers.iter().enumerate() {
            let key = format!("peers[{i}].address");
            peers.push(SeedPeer {
                name: one.name.clone(),
                address: address(&key, &one.address, &mut faults),
            });
        }
        if raw.name.is_empty() {
            faults.push(ValidationError::new("name", "must not be empty"));
        }
        if raw.operator_token.len() < MIN_TOKEN_CHARS {
            let reason = format!("must have at least {MIN_TOKEN_CHARS} characters");
            faults.push(ValidationError::new("operator_token", reason));
        }
        if !raw.platform.starts_with("http://") {
            faults.push(ValidationError::new(
                "platform",
                "must be a URL that starts with http://",
            ));
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        Ok(Self {
            name: raw.name,
            zone: raw.zone,
            fleet_path: folder.join(raw.fleet),
            caller_address: caller,
            peer_address: peer,
            operator_address: operator,
            platform_url: raw.platform,
            operator_token: raw.operator_token,
            seed_peers: peers,
        })
    }
}

fn address(key: &str, text: &str, faults: &mut Vec<ValidationError>) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        faults.push(ValidationError::new(
            key,
            format!("{text:?} is not IP:PORT"),
        ));
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}
