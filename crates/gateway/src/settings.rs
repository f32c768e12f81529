//! Settings of a VM, as an adapter passes them to the gateway.

use {
    balance::{Mode, RetryRule},
    customer::quota,
    std::{net::SocketAddr, time::Duration},
    wire::Map,
};

/// Length of the windows that [`Bounds::max_shift`] compares.
const SHIFT_WINDOW: Duration = Duration::from_secs(2);
/// Part of [`Bounds::max_shift`] that decisions may use up; the rest is left to chance.
const SHIFT_FRACTION: f64 = 0.4;
/// Part of [`Bounds::revocation_time`] in which VMs learn of a change. What they know is up to 1.2 times
/// that old while nothing fails, see `docs/design/revocation.md`.
const UPDATE_FRACTION: f64 = 0.6;

/// Limits set by the operators. They can be reloaded while the process runs.
#[derive(Debug, Clone)]
pub struct Bounds {
    /// Time between the termination signal and the kill.
    pub grace: Duration,
    /// Longest time for which callers may cache lookups.
    pub max_ttl: Duration,
    /// Time in which a confirmed change of routes or targets has to be in force.
    pub change_time: Duration,
    /// Time after which a key that was withdrawn must not be served, by any VM; `None` if VMs that
    /// are out of touch may go on.
    pub revocation_time: Option<Duration>,
    /// Largest part of a region's requests that may change their region from one window of two
    /// seconds to the next.
    pub max_shift: f64,
    /// Retry budget, shared by all VMs.
    pub retry: RetryRule,
    /// Whether slow reads may be sent once more within the retry budget.
    pub hedges_reads: bool,
    /// Whether reads may run at the second home of their object.
    pub has_second_homes: bool,
    /// Factor applied to the configured request rate of a cold target.
    pub warmup_factor: f64,
    /// Requests per second added to that rate.
    pub warmup_slack: f64,
    /// When requests are delayed and refused such that callers lose least.
    pub shedding: Mode,
    /// When requests that may run once only use kept connections.
    pub kept_connections: Mode,
    /// When the share of downloads that leaves a region is planned.
    pub region_plans: Mode,
    /// How the rate limits of customers are enforced.
    pub quota: quota::Rule,
}

impl Bounds {
    /// Returns the time in which VMs learn of a change, or that there is none. Where a withdrawn key
    /// has a bound, it is short enough for keys to be trusted while nothing fails.
    #[must_use]
    pub fn update_time(&self) -> Duration {
        let for_keys = self
            .revocation_time
            .map(|bound| bound.mul_f64(UPDATE_FRACTION));
        for_keys.map_or(self.change_time, |time| time.min(self.change_time))
    }

    /// Returns the largest change per second of the share of a route's requests that prefer other
    /// regions.
    #[must_use]
    pub fn max_share_speed(&self) -> f64 {
        SHIFT_FRACTION * self.max_shift / SHIFT_WINDOW.as_secs_f64()
    }
}

/// Settings of a VM: its name, location, addresses and limits.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Name, unique among all VMs.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Region of the VM's zone.
    pub region: String,
    /// Regions by availability zone.
    pub regions: Map<String, String>,
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address for other VMs: gossip over UDP, and relayed requests and rows over HTTP.
    pub peers: SocketAddr,
    /// Address at which metrics and the state dump are served.
    pub metrics: SocketAddr,
    /// Maximum number of file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// Maximum memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Rate of the VM's network link in megabits per second, if the operators state it.
    pub link_mbps: Option<u32>,
    /// Whether the whole system starts for the first time, so that no process was there before.
    pub is_first_start: bool,
    /// Limits set by the operators.
    pub bounds: Bounds,
}

impl Settings {
    /// Returns the region of an availability zone, or an empty string for an unknown zone.
    #[must_use]
    pub fn region_of(&self, zone: &str) -> &str {
        self.regions.get(zone).map_or("", String::as_str)
    }
}
