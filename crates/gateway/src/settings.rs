//! What a VM is told at its start.

use {
    balance::RetryPolicy,
    std::{net::SocketAddr, time::Duration},
    wire::Map,
};

/// Bounds that the operators state.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Time between the signal to stop and the kill.
    pub grace: Duration,
    /// Longest time for which look-ups may be kept.
    pub max_ttl: Duration,
    /// Retries that all VMs together may make.
    pub retry: RetryPolicy,
    /// Factor on the rate that a cold target bears.
    pub warmup_factor: f64,
    /// Requests a second on top of that rate.
    pub warmup_slack: f64,
}

/// A VM's name, place, addresses and bounds.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name among the VMs.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region of that zone.
    pub region: String,
    /// Region of each availability zone.
    pub regions: Map<String, String>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other VMs send datagrams and ask for rows.
    pub peers: SocketAddr,
    /// Where metrics and the state dump are served.
    pub metrics: SocketAddr,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Bounds that the operators state.
    pub bounds: Bounds,
}

impl Settings {
    /// Region of an availability zone; empty for one that is not known.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", String::as_str)
    }
}
