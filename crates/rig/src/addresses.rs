//! Addresses of one rig on loopback, apart from those of every other rig.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
};

const LOCK_PORT: u16 = 20_000;
const MAX_RIGS: u16 = 200;
const TARGET_PORT: u16 = 21_000;
const VM_PORT: u16 = 22_000;

/// Where one VM listens.
#[derive(Debug, Clone)]
pub struct VmSpec {
    /// Name of the VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other VMs.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
}

impl VmSpec {
    /// Base URL for callers.
    #[must_use]
    pub fn caller_url(&self) -> String {
        format!("http://{}", self.caller_address)
    }
}

/// The addresses of a rig. They are its own for as long as it lives.
pub struct LoopbackAddresses {
    rig_index: u16,
    _lock: TcpListener,
}

impl LoopbackAddresses {
    /// Takes the first free set of addresses.
    ///
    /// # Panics
    /// When all sets are taken.
    #[must_use]
    pub fn reserve() -> Self {
        for rig_index in 0..MAX_RIGS {
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::LOCALHOST, LOCK_PORT + rig_index)) {
                return Self {
                    rig_index,
                    _lock: lock,
                };
            }
        }
        panic!("all rigs are taken");
    }

    /// The shipped fleet settings with addresses on loopback: `10.x` becomes `127.x`.
    #[must_use]
    pub fn to_loopback(&self, shipped: &str) -> String {
        let port = TARGET_PORT + self.rig_index;
        shipped
            .replace("\"10.", "\"127.")
            .replace("block: 10.", "block: 127.")
            .replace(":9000\"", &format!(":{port}\""))
    }

    /// Address of a stand-in's own interface.
    #[must_use]
    pub fn stand_in(&self, index: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 250, low_byte(self.rig_index), index);
        SocketAddr::from((ip, VM_PORT))
    }

    /// Addresses of the VM with that position.
    #[must_use]
    pub fn vm_spec(&self, name: &str, zone: &str, index: u8) -> VmSpec {
        let ip = Ipv4Addr::new(127, 251, low_byte(self.rig_index), index + 1);
        VmSpec {
            name: name.to_owned(),
            zone: zone.to_owned(),
            caller_address: SocketAddr::from((ip, VM_PORT)),
            peer_address: SocketAddr::from((ip, VM_PORT + 1)),
            operator_address: SocketAddr::from((ip, VM_PORT + 2)),
        }
    }

    /// Address at which the fault proxy stands in for one of those of a VM.
    #[must_use]
    pub fn proxy(&self, from: u8, to: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 252 + low_byte(self.rig_index / 100), from + 1, to + 1);
        SocketAddr::from((ip, VM_PORT + self.rig_index))
    }
}

fn low_byte(rig_index: u16) -> u8 {
    u8::try_from(rig_index % 256).unwrap_or(0)
}

/// Folder of the workspace.
pub(crate) fn workspace_directory() -> PathBuf {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest.ancestors().nth(2).unwrap_or(manifest).to_owned()
}

/// Folder of the built programs: that of the running one, or its parent for tests.
pub(crate) fn program_directory() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let directory = own.parent().unwrap_or(Path::new("."));
    if directory.ends_with("deps") {
        directory.parent().unwrap_or(directory).to_owned()
    } else {
        directory.to_owned()
    }
}
