//! What happens to the connections of one route.

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

/// How a route fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Passes everything.
    #[default]
    Pass,
    /// Refuses new connections and closes those that are open.
    Cut,
    /// Holds everything back, on new connections too.
    Freeze,
    /// Holds back what goes to the server.
    FreezeForward,
    /// Holds back what comes from the server.
    FreezeBack,
    /// Connections that are open go silent for good; new ones pass.
    SilenceOpen,
    /// Closes a connection as soon as the server answers, before the answer passes.
    DropAnswer,
    /// Closes a connection after so many bytes of the server's answer.
    CutAnswer,
}

/// A mode with its numbers.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultConfig {
    /// How the route fails.
    pub mode: Mode,
    /// Delay of each piece of data, in milliseconds.
    pub delay_ms: u64,
    /// Bytes that pass before [`Mode::CutAnswer`] closes.
    pub after_bytes: u64,
}

/// One listener of the proxy and where it leads.
pub struct Route {
    pub(crate) name: String,
    pub(crate) to: SocketAddr,
    setting: Mutex<FaultConfig>,
    /// Connections opened before this number are silenced or cut.
    epoch: AtomicU64,
    carried: AtomicU64,
}

impl Route {
    /// A route that passes everything.
    #[must_use]
    pub fn new(name: &str, to: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            to,
            setting: Mutex::new(FaultConfig::default()),
            epoch: AtomicU64::new(0),
            carried: AtomicU64::new(0),
        }
    }

    /// Changes how the route fails.
    pub fn set_config(&self, setting: FaultConfig) {
        if let Ok(mut held) = self.setting.lock() {
            *held = setting;
        }
        if matches!(setting.mode, Mode::SilenceOpen | Mode::Cut) {
            self.epoch.fetch_add(1, Ordering::SeqCst);
        }
    }

    pub(crate) fn setting(&self) -> FaultConfig {
        self.setting.lock().map(|held| *held).unwrap_or_default()
    }

    pub(crate) fn count(&self, bytes: u64) {
        self.carried.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn carried(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::SeqCst)
    }
}
