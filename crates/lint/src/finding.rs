//! What a check reports.

use serde::Serialize;

/// How a finding affects callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// What differs from the version in force.
    Change,
    /// It is in force as written, but is likely a mistake.
    Warning,
    /// A part of the configuration is not in force as written.
    Error,
}

/// Name of a check, which never changes its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// The version is not newer than the one in force.
    StaleVersion,
    /// A route cannot be served.
    UnusableRoute,
    /// A part was not understood and is replaced or left out.
    UnclearPart,
    /// A customer cannot be served.
    UnusableCustomer,
    /// No path has the prefix of a route.
    UnreachablePrefix,
    /// No route names a service.
    UnusedService,
    /// A service of a route has no share.
    ZeroWeight,
    /// A customer holds no key.
    NoKeys,
    /// No route may run a customer's requests in its regions.
    NoCommonRegion,
    /// A route's timeout is shorter than its latency objective.
    TimeoutBelowObjective,
    /// A route's timeout is too short for its number of attempts.
    AttemptsBeyondTimeout,
    /// A customer has a burst, but no rate.
    BurstWithoutRate,
    /// A cold target of a service may get no request.
    NoWarmupRate,
    /// A service allows no connection.
    NoConnections,
    /// A route differs.
    Route,
    /// A service differs.
    Service,
    /// A limit on callers differs.
    Limits,
    /// A customer differs.
    Customer,
}

/// One result of a check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How it affects callers.
    pub severity: Severity,
    /// The check that found it.
    pub rule: Rule,
    /// Route, service or customer.
    pub subject: String,
    /// What was found. It never contains a key.
    pub found: String,
    /// What callers notice once the version is in force.
    pub follows: String,
    /// How to mend it; empty for a change.
    pub remedy: String,
}

/// All results of a check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The results: first those of the version alone, then what differs.
    pub findings: Vec<Finding>,
}

impl Report {
    /// Returns the gravest severity, or `None` without findings.
    #[must_use]
    pub fn worst(&self) -> Option<Severity> {
        self.findings.iter().map(|finding| finding.severity).max()
    }
}

pub(crate) fn route(name: &str) -> String {
    format!("route {name}")
}

pub(crate) fn service(name: &str) -> String {
    format!("service {name}")
}

pub(crate) fn customer(name: &str) -> String {
    format!("customer {name}")
}
