//! Fault configuration and state of one proxy route.

use {
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{
            Mutex,
            atomic::{AtomicU64, Ordering},
        },
    },
};

/// Fault of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Forwards everything.
    #[default]
    Pass,
    /// Closes new connections at once and all open ones.
    Cut,
    /// Blocks both directions, on new connections too.
    Freeze,
    /// Blocks the direction from client to server.
    FreezeForward,
    /// Blocks the direction from server to client.
    FreezeBack,
    /// Blocks connections that are open when the mode is set; new ones are forwarded.
    SilenceOpen,
    /// Closes a connection when the server responds, without forwarding the response.
    #[serde(rename = "drop-answer")]
    DropResponse,
    /// Closes a connection after [`FaultConfig::after_bytes`] bytes from the server.
    #[serde(rename = "cut-answer")]
    CutResponse,
}

/// Fault of a route and its parameters.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultConfig {
    /// Fault mode.
    pub mode: Mode,
    /// Delay of each chunk of data, in milliseconds.
    pub delay_ms: u64,
    /// Number of bytes from the server that [`Mode::CutResponse`] forwards before it closes
    /// the connection.
    pub after_bytes: u64,
}

/// Route of the proxy: the server to which it forwards and its current fault.
pub struct ProxyRoute {
    pub(crate) name: String,
    pub(crate) server: SocketAddr,
    config: Mutex<FaultConfig>,
    /// Incremented when open connections are to be blocked or closed; affects those that
    /// were opened under a lower value.
    epoch: AtomicU64,
    forwarded_bytes: AtomicU64,
}

impl ProxyRoute {
    /// Returns a route to `server` that forwards everything.
    #[must_use]
    pub fn new(name: &str, server: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            server,
            config: Mutex::new(FaultConfig::default()),
            epoch: AtomicU64::new(0),
            forwarded_bytes: AtomicU64::new(0),
        }
    }

    /// Replaces the fault configuration; applies to open connections too.
    pub fn set_config(&self, config: FaultConfig) {
        if let Ok(mut current) = self.config.lock() {
            *current = config;
        }
        if matches!(config.mode, Mode::SilenceOpen | Mode::Cut) {
            self.epoch.fetch_add(1, Ordering::SeqCst);
        }
    }

    pub(crate) fn config(&self) -> FaultConfig {
        self.config.lock().map(|config| *config).unwrap_or_default()
    }

    pub(crate) fn add_forwarded_bytes(&self, bytes: u64) {
        self.forwarded_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::SeqCst)
    }
}
