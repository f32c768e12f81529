//! Parts of a configuration that are not in force as written.

use {
    crate::{
        Finding, Rule, Severity, Version,
        finding::{customer, route},
    },
    customer::Registry,
    route::RouteTable,
};

/// Returns the errors of a version, as the product itself finds them.
pub(crate) fn check(new: Version<'_>, in_force: Option<Version<'_>>) -> Vec<Finding> {
    let mut findings = Vec::new();
    findings.extend(in_force.and_then(|in_force| stale_version(new, in_force)));
    findings.extend(unusable_routes(new));
    findings.extend(unclear_parts(new));
    findings.extend(unusable_customers(new));
    findings
}

fn stale_version(new: Version<'_>, in_force: Version<'_>) -> Option<Finding> {
    let (offered, current) = (new.routes.version, in_force.routes.version);
    (offered <= current).then(|| Finding {
        severity: Severity::Error,
        rule: Rule::StaleVersion,
        subject: "version".to_owned(),
        found: format!("{offered} is not newer than {current}, which is in force"),
        follows: "the VMs keep the version in force".to_owned(),
        remedy: format!("use a number above {current}"),
    })
}

fn unusable_routes(new: Version<'_>) -> Vec<Finding> {
    let mut configuration = new.routes.clone();
    // The table of a VM before its first configuration has version 0.
    configuration.version = configuration.version.max(1);
    let Ok(table) = RouteTable::default().with_configuration(configuration) else {
        return Vec::new();
    };
    let unusable = table.unusable_routes().iter();
    let findings = unusable.map(|unusable| Finding {
        severity: Severity::Error,
        rule: Rule::UnusableRoute,
        subject: route(&unusable.name),
        found: unusable.reason.clone(),
        follows: format!(
            "requests for {}{} get 503 until the next version",
            unusable.host, unusable.prefix
        ),
        remedy: "correct the route, or leave it out".to_owned(),
    });
    findings.collect()
}

fn unclear_parts(new: Version<'_>) -> Vec<Finding> {
    let warnings = new.routes.warnings.iter();
    let findings = warnings.map(|warning| Finding {
        severity: Severity::Error,
        rule: Rule::UnclearPart,
        subject: warning.subject.clone(),
        found: warning.reason.clone(),
        follows: "a safe value holds in its place".to_owned(),
        remedy: "write it as the format says".to_owned(),
    });
    findings.collect()
}

fn unusable_customers(new: Version<'_>) -> Vec<Finding> {
    let Some(listing) = new.customers else {
        return Vec::new();
    };
    let registry = Registry::new(listing.clone());
    let faults = registry.faults().iter();
    let findings = faults.map(|row| Finding {
        severity: Severity::Error,
        rule: Rule::UnusableCustomer,
        subject: customer(&row.name),
        found: row.fault.to_string(),
        follows: "requests with the keys concerned get 503 until the next version".to_owned(),
        remedy: "correct the row of the customer".to_owned(),
    });
    findings.collect()
}
