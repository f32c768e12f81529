//! Loopback addresses of a rig, and directories of the workspace.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
};

/// First of the ports that rigs bind to reserve their addresses.
const FIRST_LOCK_PORT: u16 = 20_000;
/// Maximum number of rigs on one host at the same time.
const MAX_RIGS: u16 = 200;
/// First of the ports on which the targets of a rig listen.
const FIRST_TARGET_PORT: u16 = 21_000;
/// Lowest port of VMs, stand-ins and proxy routes.
const BASE_PORT: u16 = 22_000;

/// Name, availability zone and addresses of a VM.
#[derive(Debug, Clone)]
pub struct VmSpec {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other VMs.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
}

impl VmSpec {
    /// Returns the base URL for callers.
    #[must_use]
    pub fn caller_url(&self) -> String {
        format!("http://{}", self.caller_address)
    }
}

/// Addresses of one rig. No other rig on this host gets them before this value is dropped.
pub struct LoopbackAddresses {
    rig_index: u16,
    /// Listener whose port reserves the addresses across processes.
    _lock: TcpListener,
}

impl LoopbackAddresses {
    /// Reserves the first set of addresses that is free.
    ///
    /// # Panics
    /// If all sets are reserved.
    #[must_use]
    pub fn reserve() -> Self {
        for rig_index in 0..MAX_RIGS {
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::LOCALHOST, FIRST_LOCK_PORT + rig_index))
            {
                return Self {
                    rig_index,
                    _lock: lock,
                };
            }
        }
        panic!("all {MAX_RIGS} address sets for rigs are reserved");
    }

    /// Returns fleet settings with addresses and client blocks moved from `10.x` to `127.x`,
    /// and target port 9000 replaced by the target port of this rig.
    #[must_use]
    pub fn to_loopback(&self, fleet_yaml: &str) -> String {
        let port = FIRST_TARGET_PORT + self.rig_index;
        fleet_yaml
            .replace("\"10.", "\"127.")
            .replace("block: 10.", "block: 127.")
            .replace(":9000\"", &format!(":{port}\""))
    }

    /// Returns the address of the control interface of a stand-in.
    #[must_use]
    pub fn stand_in(&self, index: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 250, low_byte(self.rig_index), index);
        SocketAddr::from((ip, BASE_PORT))
    }

    /// Returns the VM with that index, name and availability zone.
    #[must_use]
    pub fn vm_spec(&self, name: &str, zone: &str, index: u8) -> VmSpec {
        let ip = Ipv4Addr::new(127, 251, low_byte(self.rig_index), index + 1);
        VmSpec {
            name: name.to_owned(),
            zone: zone.to_owned(),
            caller_address: SocketAddr::from((ip, BASE_PORT)),
            peer_address: SocketAddr::from((ip, BASE_PORT + 1)),
            operator_address: SocketAddr::from((ip, BASE_PORT + 2)),
        }
    }

    /// Returns the address on which the fault proxy listens for connections from the VM with
    /// index `from` to the VM with index `to`, or to the platform if `to` is the index that is
    /// reserved for it.
    #[must_use]
    pub fn proxy(&self, from: u8, to: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 252 + low_byte(self.rig_index / 100), from + 1, to + 1);
        SocketAddr::from((ip, BASE_PORT + self.rig_index))
    }
}

fn low_byte(value: u16) -> u8 {
    u8::try_from(value % 256).unwrap_or(0)
}

/// Returns the root directory of the workspace.
pub(crate) fn workspace_directory() -> PathBuf {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest.ancestors().nth(2).unwrap_or(manifest).to_owned()
}

/// Returns the directory of the built programs.
///
/// It is the directory of the running program. Cargo puts tests into its subdirectory `deps`.
pub(crate) fn program_directory() -> PathBuf {
    let executable = std::env::current_exe().unwrap_or_default();
    let directory = executable.parent().unwrap_or(Path::new("."));
    if directory.ends_with("deps") {
        directory.parent().unwrap_or(directory).to_owned()
    } else {
        directory.to_owned()
    }
}
