//! Limits that contradict each other.

use {
    crate::{
        Finding, Rule, Severity, Version,
        finding::{customer, route, service},
    },
    customer::Customer,
    route::{Route, Service},
};

/// Returns the limits of a version that cannot hold together.
pub(crate) fn check(new: Version<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for route in &new.routes.routes {
        findings.extend(timeout_below_objective(route));
        findings.extend(attempts_beyond_timeout(route));
    }
    for service in &new.routes.services {
        findings.extend(no_warmup_rate(service));
        findings.extend(no_connections(service));
    }
    let rows = new.customers.and_then(|listing| listing.rows.as_ref().ok());
    let customers = rows
        .into_iter()
        .flatten()
        .filter_map(|row| row.customer.as_ref().ok());
    findings.extend(customers.filter_map(burst_without_rate));
    findings
}

fn timeout_below_objective(checked: &Route) -> Option<Finding> {
    let (timeout, objective) = (checked.timeout, checked.objective);
    (timeout < objective).then(|| Finding {
        severity: Severity::Warning,
        rule: Rule::TimeoutBelowObjective,
        subject: route(&checked.name),
        found: format!("timeout {timeout:?} is shorter than the objective {objective:?}"),
        follows: "requests end with 504 that would still have been in time".to_owned(),
        remedy: "raise the timeout to the objective at least".to_owned(),
    })
}

/// A retry makes sense only if the first attempt may use up the objective.
fn attempts_beyond_timeout(checked: &Route) -> Option<Finding> {
    let retries = checked.max_attempts.saturating_sub(1);
    let needed = checked.objective.saturating_mul(retries);
    let fits = needed <= checked.timeout || checked.timeout < checked.objective;
    (!fits).then(|| Finding {
        severity: Severity::Warning,
        rule: Rule::AttemptsBeyondTimeout,
        subject: route(&checked.name),
        found: format!(
            "{} attempts do not fit the timeout {:?} with an objective of {:?}",
            checked.max_attempts, checked.timeout, checked.objective
        ),
        follows: "the last attempts are rarely made".to_owned(),
        remedy: "raise the timeout, or allow fewer attempts".to_owned(),
    })
}

fn no_warmup_rate(checked: &Service) -> Option<Finding> {
    (checked.warmup_requests_per_s <= 0.0).then(|| Finding {
        severity: Severity::Warning,
        rule: Rule::NoWarmupRate,
        subject: service(&checked.name),
        found: "its warm-up rate admits no request".to_owned(),
        follows: "cold targets get no more than the fixed allowance of the settings".to_owned(),
        remedy: "state the rate that a cold target bears".to_owned(),
    })
}

fn no_connections(checked: &Service) -> Option<Finding> {
    (checked.max_connections == 0).then(|| Finding {
        severity: Severity::Warning,
        rule: Rule::NoConnections,
        subject: service(&checked.name),
        found: "it allows 0 connections".to_owned(),
        follows: "each VM keeps one idle connection to a target all the same".to_owned(),
        remedy: "state the connections that a target accepts".to_owned(),
    })
}

fn burst_without_rate(checked: &Customer) -> Option<Finding> {
    let limit = checked.rate_limit?;
    (limit.requests_per_s <= 0.0 && limit.burst > 0.0).then(|| Finding {
        severity: Severity::Warning,
        rule: Rule::BurstWithoutRate,
        subject: customer(&checked.name),
        found: format!("it has a burst of {} and no rate", limit.burst),
        follows: "its requests are not limited".to_owned(),
        remedy: "state a rate, or leave the burst out".to_owned(),
    })
}
