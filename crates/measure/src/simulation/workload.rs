//! The project's own description of a day.

use {serde::Deserialize, std::path::Path};

/// Why a day cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum WorkloadError {
    /// The file is not there.
    #[error("{0}")]
    Read(#[from] std::io::Error),
    /// The file is not a day.
    #[error("{0}")]
    Parse(#[from] serde_saphyr::Error),
    /// A kind names a service that is not there, or numbers do not fit.
    #[error("{0}")]
    Inconsistent(String),
}

/// Load and machines of a day.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Length in seconds.
    pub seconds: f64,
    /// VMs in each region.
    pub vms: usize,
    /// Number of regions.
    pub regions: usize,
    /// Time there and back between regions, in milliseconds.
    pub round_trip_ms: u64,
    /// Time there and back to the caller, in milliseconds.
    pub caller_ms: u64,
    /// Services and their targets.
    pub services: Vec<Service>,
    /// Kinds of requests.
    pub kinds: Vec<RequestKind>,
}

/// Targets that run the same kinds of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Targets in each region.
    pub targets: Vec<usize>,
    /// Requests that a target runs at a time.
    pub slots: u32,
    /// Requests that wait at a target before it sheds.
    pub queue: usize,
    /// Objects that a target remembers.
    pub remembers: usize,
}

/// Requests of one kind.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestKind {
    /// Name.
    pub name: String,
    /// Service that runs them.
    pub service: String,
    /// Requests a second from all regions.
    pub per_s: f64,
    /// Running time of an object that the target does not remember, in milliseconds.
    pub work_ms: f64,
    /// Part of that where it does.
    pub known_part: f64,
    /// Latency objective in milliseconds.
    pub objective_ms: u64,
    /// Deadline in milliseconds.
    pub deadline_ms: u64,
    /// Objects of each region.
    pub objects: usize,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Credit in time.
    pub credit: f64,
    /// Credit of a late answer.
    pub late_credit: f64,
}

impl Workload {
    /// Reads and checks a day.
    ///
    /// # Errors
    /// A [`WorkloadError`] when the file is not there, is no day, or contradicts itself.
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
                    "{name}: targets of each region"
                )));
            }
        }
        for kind in &self.kinds {
            if !self.services.iter().any(|s| s.name == kind.service) {
                let name = &kind.name;
                return Err(WorkloadError::Inconsistent(format!(
                    "{name}: no such service"
                )));
            }
        }
        Ok(())
    }
}
