//! Workload files: the load and the targets of a simulated day.

use {serde::Deserialize, std::path::Path};

/// Why a workload cannot be loaded.
#[derive(Debug, thiserror::Error)]
pub enum WorkloadError {
    /// The file cannot be read.
    #[error("cannot read the workload file: {0}")]
    Read(#[from] std::io::Error),
    /// The file is not a valid workload description.
    #[error("invalid workload file: {0}")]
    Parse(#[from] serde_saphyr::Error),
    /// A request kind names an unknown service, or a service does not have a target count for
    /// each region.
    #[error("inconsistent workload: {0}")]
    Inconsistent(String),
}

/// Requests, VMs and targets of a simulated day.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Time during which requests arrive, in seconds.
    pub seconds: f64,
    /// VMs in each region.
    pub vms: usize,
    /// Number of regions.
    pub regions: usize,
    /// Round-trip time between regions, in milliseconds.
    pub round_trip_ms: u64,
    /// Round-trip time between caller and VM, in milliseconds.
    pub caller_ms: u64,
    /// Services with their targets.
    pub services: Vec<Service>,
    /// Kinds of requests that arrive.
    pub kinds: Vec<RequestKind>,
}

/// A service whose targets run the same kinds of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Number of targets in each region.
    pub targets: Vec<usize>,
    /// Requests that a target runs concurrently.
    pub slots: u32,
    /// Requests that may wait at a target; further ones are rejected.
    pub queue: usize,
    /// Objects that a target keeps in its cache.
    pub remembers: usize,
}

/// Requests with the same service, cost and objective.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name of the kind of request.
    pub name: String,
    /// Name of the service that runs the requests.
    pub service: String,
    /// Requests per second, from all regions together.
    pub per_s: f64,
    /// Mean running time in milliseconds if the target has not cached the object.
    pub work_ms: f64,
    /// Running time with a cached object, as a ratio of `work_ms`.
    pub known_part: f64,
    /// Latency objective in milliseconds.
    pub objective_ms: u64,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Number of objects in each region.
    pub objects: usize,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Credit of a response within the latency objective.
    pub credit: f64,
    /// Credit of a response after the objective and within the deadline.
    pub late_credit: f64,
}

impl Workload {
    /// Reads and validates a workload file.
    ///
    /// # Errors
    /// Returns a [`WorkloadError`] if the file cannot be read, is invalid or is inconsistent.
    pub fn read(path: &Path) -> Result<Self, WorkloadError> {
        let workload: Self = serde_saphyr::from_str(&std::fs::read_to_string(path)?)?;
        workload.validate()?;
        Ok(workload)
    }

    fn validate(&self) -> Result<(), WorkloadError> {
        for service in &self.services {
            if service.targets.len() != self.regions {
                let name = &service.name;
                return Err(WorkloadError::Inconsistent(format!(
                    "service {name}: targets must have one count for each region"
                )));
            }
        }
        for kind in &self.kinds {
            if !self.services.iter().any(|s| s.name == kind.service) {
                let name = &kind.name;
                return Err(WorkloadError::Inconsistent(format!(
                    "request kind {name}: its service does not exist"
                )));
            }
        }
        Ok(())
    }
}
