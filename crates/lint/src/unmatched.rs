//! Entries that no request can ever match.

use {
    crate::{
        Finding, Rule, Severity, Version,
        finding::{customer, route, service},
    },
    customer::{Customer, Row},
    route::{Route, RouteConfiguration},
};

/// Returns the entries of a version that can never match.
pub(crate) fn check(new: Version<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for route in &new.routes.routes {
        findings.extend(unreachable_prefix(route));
        findings.extend(zero_weights(route));
    }
    findings.extend(unused_services(new.routes));
    let rows = new.customers.and_then(|listing| listing.rows.as_ref().ok());
    for row in rows.into_iter().flatten() {
        findings.extend(no_keys(row));
        let parsed = row.customer.as_ref().ok();
        findings.extend(parsed.and_then(|parsed| no_common_region(new.routes, parsed)));
    }
    findings
}

fn unreachable_prefix(checked: &Route) -> Option<Finding> {
    let is_in_no_path = |c: char| c == '?' || c == '#' || c.is_whitespace() || c.is_control();
    let found = checked.prefix.find(is_in_no_path)?;
    Some(Finding {
        severity: Severity::Warning,
        rule: Rule::UnreachablePrefix,
        subject: route(&checked.name),
        found: format!(
            "prefix {:?} has a character at {found} that no path contains",
            checked.prefix
        ),
        follows: "no request matches the route".to_owned(),
        remedy: "write the prefix as it stands in the path of a request".to_owned(),
    })
}

fn zero_weights(checked: &Route) -> Vec<Finding> {
    let without_share = checked.services.iter().filter(|part| part.weight == 0);
    let findings = without_share.map(|part| Finding {
        severity: Severity::Warning,
        rule: Rule::ZeroWeight,
        subject: route(&checked.name),
        found: format!("service {} has weight 0", part.service),
        follows: "it gets no request of the route".to_owned(),
        remedy: "give it a weight, or leave it out".to_owned(),
    });
    findings.collect()
}

fn unused_services(configuration: &RouteConfiguration) -> Vec<Finding> {
    let is_named = |name: &str| {
        let mut parts = configuration
            .routes
            .iter()
            .flat_map(|route| &route.services);
        parts.any(|part| part.service == name)
    };
    let unused = configuration.services.iter().filter(|s| !is_named(&s.name));
    let findings = unused.map(|unused| Finding {
        severity: Severity::Warning,
        rule: Rule::UnusedService,
        subject: service(&unused.name),
        found: "no route names it".to_owned(),
        follows: "its targets get no request".to_owned(),
        remedy: "name it in a route, or leave it out".to_owned(),
    });
    findings.collect()
}

fn no_keys(row: &Row) -> Option<Finding> {
    (row.customer.is_ok() && row.keys.is_empty()).then(|| Finding {
        severity: Severity::Warning,
        rule: Rule::NoKeys,
        subject: customer(&row.name),
        found: "it holds no key".to_owned(),
        follows: "none of its requests is served, except on public routes".to_owned(),
        remedy: "give it a key, or leave it out".to_owned(),
    })
}

fn no_common_region(configuration: &RouteConfiguration, checked: &Customer) -> Option<Finding> {
    let regions = &checked.allowed_regions;
    let is_served_by = |route: &Route| regions.iter().any(|region| route.allows_region(region));
    let is_served = regions.is_empty() || configuration.routes.iter().any(is_served_by);
    (!is_served).then(|| Finding {
        severity: Severity::Warning,
        rule: Rule::NoCommonRegion,
        subject: customer(&checked.name),
        found: format!("no route may run in any of {}", regions.join(", ")),
        follows: "each of its requests gets 503".to_owned(),
        remedy: "add a region that a route allows".to_owned(),
    })
}
