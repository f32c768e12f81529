//! Validated configuration of a VM.

use {
    super::raw::RawVm,
    crate::ValidationError,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

const MIN_TOKEN_BYTES: usize = 16;

/// Configuration of one VM: its identity, its listeners and the addresses it connects to.
#[derive(Clone)]
pub struct Vm {
    /// Name of the VM, unique in the fleet.
    pub name: String,
    /// Name of the availability zone of the VM.
    pub zone: String,
    /// Path of the fleet file.
    pub fleet_path: PathBuf,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for other VMs.
    pub peer_address: SocketAddr,
    /// Listen address for operators.
    pub operator_address: SocketAddr,
    /// Base URL of the platform.
    pub platform_url: String,
    /// Token that authenticates operators. It is never logged or included in a state dump.
    pub operator_token: String,
    /// VMs to contact before the platform's list is known.
    pub seed_peers: Vec<SeedPeer>,
}

/// A VM to contact at startup.
#[derive(Debug, Clone)]
pub struct SeedPeer {
    /// Name of the VM.
    pub name: String,
    /// Address at which the VM listens for other VMs.
    pub address: SocketAddr,
}

impl Vm {
    /// Validates the file; relative paths in it are resolved against `directory`.
    pub(crate) fn from_raw(raw: RawVm, directory: &Path) -> Result<Self, Vec<ValidationError>> {
        let mut errors = Vec::new();
        let caller_address = parse_address("caller", &raw.caller, &mut errors);
        let peer_address = parse_address("peer", &raw.peer, &mut errors);
        let operator_address = parse_address("operator", &raw.operator, &mut errors);
        let mut seed_peers = Vec::new();
        for (i, peer) in raw.peers.iter().enumerate() {
            let key = format!("peers[{i}].address");
            seed_peers.push(SeedPeer {
                name: peer.name.clone(),
                address: parse_address(&key, &peer.address, &mut errors),
            });
        }
        if raw.name.is_empty() {
            errors.push(ValidationError::new("name", "must not be empty"));
        }
        if raw.operator_token.len() < MIN_TOKEN_BYTES {
            let reason = format!("must be at least {MIN_TOKEN_BYTES} bytes long");
            errors.push(ValidationError::new("operator_token", reason));
        }
        if !raw.platform.starts_with("http://") {
            errors.push(ValidationError::new(
                "platform",
                "must be a URL that starts with http://",
            ));
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(Self {
            name: raw.name,
            zone: raw.zone,
            fleet_path: directory.join(raw.fleet),
            caller_address,
            peer_address,
            operator_address,
            platform_url: raw.platform,
            operator_token: raw.operator_token,
            seed_peers,
        })
    }
}

/// Parses an address; on failure adds an error and returns a placeholder.
fn parse_address(key: &str, text: &str, errors: &mut Vec<ValidationError>) -> SocketAddr {
    text.parse().unwrap_or_else(|_| {
        errors.push(ValidationError::new(
            key,
            format!("{text:?} is not an address in the form IP:PORT"),
        ));
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}
