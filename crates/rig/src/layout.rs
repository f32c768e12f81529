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
pub struct Place {
    /// Name of the VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other VMs.
    pub peer: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
}

impl Place {
    /// Base URL for callers.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.caller)
    }
}

/// The addresses of a rig. They are its own for as long as it lives.
pub struct Layout {
    number: u16,
    _lock: TcpListener,
}

impl Layout {
    /// Takes the first free set of addresses.
    ///
    /// # Panics
    /// When all sets are taken.
    #[must_use]
    pub fn take() -> Self {
        for number in 0..MAX_RIGS {
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::LOCALHOST, LOCK_PORT + number)) {
                return Self {
                    number,
                    _lock: lock,
                };
            }
        }
        panic!("all rigs are taken");
    }

    /// The shipped fleet settings with addresses on loopback: `10.x` becomes `127.x`.
    #[must_use]
    pub fn fleet(&self, shipped: &str) -> String {
        let port = TARGET_PORT + self.number;
        shipped
            .replace("\"10.", "\"127.")
            .replace("block: 10.", "block: 127.")
            .replace(":9000\"", &format!(":{port}\""))
    }

    /// Address of a stand-in's own interface.
    #[must_use]
    pub fn stand(&self, index: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 250, low(self.number), index);
        SocketAddr::from((ip, VM_PORT))
    }

    /// Addresses of the VM with that position.
    #[must_use]
    pub fn vm(&self, name: &str, zone: &str, index: u8) -> Place {
        let ip = Ipv4Addr::new(127, 251, low(self.number), index + 1);
        Place {
            name: name.to_owned(),
            zone: zone.to_owned(),
            caller: SocketAddr::from((ip, VM_PORT)),
            peer: SocketAddr::from((ip, VM_PORT + 1)),
            operator: SocketAddr::from((ip, VM_PORT + 2)),
        }
    }

    /// Address at which the fault proxy stands in for one of those of a VM.
    #[must_use]
    pub fn proxied(&self, from: u8, to: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 252 + low(self.number / 100), from + 1, to + 1);
        SocketAddr::from((ip, VM_PORT + self.number))
    }
}

fn low(number: u16) -> u8 {
    u8::try_from(number % 256).unwrap_or(0)
}

/// Folder of the workspace.
pub(crate) fn workspace() -> PathBuf {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR"));
    manifest.ancestors().nth(2).unwrap_or(manifest).to_owned()
}

/// Folder of the built programs: that of the running one, or its parent for tests.
pub(crate) fn programs() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    let folder = own.parent().unwrap_or(Path::new("."));
    if folder.ends_with("deps") {
        folder.parent().unwrap_or(folder).to_owned()
    } else {
        folder.to_owned()
    }
}
