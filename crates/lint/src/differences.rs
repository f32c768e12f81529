//! What differs between the version in force and a new one, in the terms of operators.

use {
    crate::{
        Finding, Rule, Severity, Version,
        finding::{customer, route, service},
    },
    customer::{Customer, RateLimit, Row},
    route::{Route, RouteConfiguration, Service},
    std::{collections::BTreeMap, fmt::Debug},
    xxhash_rust::xxh3::xxh3_64,
};

/// Returns what changes once `new` takes the place of `old`.
pub(crate) fn compare(old: Version<'_>, new: Version<'_>) -> Vec<Finding> {
    let mut findings = compare_routes(old.routes, new.routes);
    findings.extend(compare_services(old.routes, new.routes));
    if old.routes.limits != new.routes.limits {
        let found = change("limits", &old.routes.limits, &new.routes.limits);
        findings.push(finding(
            Rule::Limits,
            "limits".to_owned(),
            found,
            "new connections of callers are held to them",
        ));
    }
    findings.extend(compare_customers(old, new));
    findings
}

fn finding(rule: Rule, subject: String, found: String, follows: &str) -> Finding {
    Finding {
        severity: Severity::Change,
        rule,
        subject,
        found,
        follows: follows.to_owned(),
        remedy: String::new(),
    }
}

fn change<T: Debug>(name: &str, old: &T, new: &T) -> String {
    format!("{name} from {old:?} to {new:?}")
}

/// Returns for each name the old and the new item of that name.
fn pair_up<'a, T>(
    old: impl Iterator<Item = (&'a str, &'a T)>,
    new: impl Iterator<Item = (&'a str, &'a T)>,
) -> BTreeMap<&'a str, (Option<&'a T>, Option<&'a T>)> {
    let mut pairs: BTreeMap<&str, (Option<&T>, Option<&T>)> = BTreeMap::new();
    for (name, item) in old {
        pairs.entry(name).or_default().0 = Some(item);
    }
    for (name, item) in new {
        pairs.entry(name).or_default().1 = Some(item);
    }
    pairs
}

fn compare_routes(old: &RouteConfiguration, new: &RouteConfiguration) -> Vec<Finding> {
    let old_routes = old.routes.iter().map(|route| (route.name.as_str(), route));
    let new_routes = new.routes.iter().map(|route| (route.name.as_str(), route));
    let mut findings = Vec::new();
    for (name, pair) in pair_up(old_routes, new_routes) {
        let (found, follows) = match pair {
            (None, Some(added)) => (
                format!("added: {}{} to {}", added.host, added.prefix, shares(added)),
                "requests that got 404, or matched a shorter prefix, are served by it",
            ),
            (Some(dropped), None) => (
                format!("dropped: {}{}", dropped.host, dropped.prefix),
                "its requests match a shorter prefix, or get 404",
            ),
            (Some(old), Some(new)) if old != new => (
                route_changes(old, new).join("; "),
                "requests that arrive afterwards are served so",
            ),
            _ => continue,
        };
        findings.push(finding(Rule::Route, route(name), found, follows));
    }
    findings
}

fn shares(route: &Route) -> String {
    let parts = route.services.iter();
    let texts: Vec<String> = parts
        .map(|part| format!("{} ({})", part.service, part.weight))
        .collect();
    texts.join(", ")
}

fn route_changes(old: &Route, new: &Route) -> Vec<String> {
    let mut changes = Vec::new();
    let mut add = |name: &str, old: &dyn Debug, new: &dyn Debug| {
        let (old, new) = (format!("{old:?}"), format!("{new:?}"));
        if old != new {
            changes.push(format!("{name} from {old} to {new}"));
        }
    };
    add("host", &old.host, &new.host);
    add("prefix", &old.prefix, &new.prefix);
    add("services", &shares(old), &shares(new));
    add("kind", &old.kind, &new.kind);
    add("timeout", &old.timeout, &new.timeout);
    add("objective", &old.objective, &new.objective);
    add("priority", &old.priority, &new.priority);
    add("attempts", &old.max_attempts, &new.max_attempts);
    add("affinity", &old.uses_affinity, &new.uses_affinity);
    add("public", &old.is_public, &new.is_public);
    add("regions", &old.allowed_regions, &new.allowed_regions);
    changes
}

fn compare_services(old: &RouteConfiguration, new: &RouteConfiguration) -> Vec<Finding> {
    let old_services = old.services.iter().map(|s| (s.name.as_str(), s));
    let new_services = new.services.iter().map(|s| (s.name.as_str(), s));
    let mut findings = Vec::new();
    for (name, pair) in pair_up(old_services, new_services) {
        let found = match pair {
            (None, Some(_)) => "added".to_owned(),
            (Some(_), None) => "dropped".to_owned(),
            (Some(old), Some(new)) if old != new => service_changes(old, new),
            _ => continue,
        };
        let follows = "its targets are used as it says";
        findings.push(finding(Rule::Service, service(name), found, follows));
    }
    findings
}

fn service_changes(old: &Service, new: &Service) -> String {
    let connections = change("connections", &old.max_connections, &new.max_connections);
    let warmup = change(
        "warm-up rate",
        &old.warmup_requests_per_s,
        &new.warmup_requests_per_s,
    );
    format!("{connections}; {warmup}")
}

fn compare_customers(old: Version<'_>, new: Version<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    if old.customers.is_some() != new.customers.is_some() {
        let (found, follows) = if new.customers.is_some() {
            (
                "customers are listed",
                "requests on routes that are not public need a key",
            )
        } else {
            ("customers are listed no more", "no request needs a key")
        };
        let subject = "customers".to_owned();
        findings.push(finding(Rule::Customer, subject, found.to_owned(), follows));
        return findings;
    }
    let is_unreadable = |version: Version<'_>| version.customers.is_some_and(|l| l.rows.is_err());
    if is_unreadable(old) || is_unreadable(new) {
        return findings;
    }
    let old_rows = rows(old).map(|row| (row.name.as_str(), row));
    let new_rows = rows(new).map(|row| (row.name.as_str(), row));
    for (name, pair) in pair_up(old_rows, new_rows) {
        let (found, follows) = match pair {
            (None, Some(row)) => (
                format!("added with {} keys", row.keys.len()),
                "its requests are served",
            ),
            (Some(_), None) => (
                "dropped".to_owned(),
                "its requests get 401 once the version is in force",
            ),
            (Some(old), Some(new)) if !customer_changes(old, new).is_empty() => (
                customer_changes(old, new).join("; "),
                "keys that are taken away get 401; a lower rate limit refuses with 429 what is beyond it",
            ),
            _ => continue,
        };
        findings.push(finding(Rule::Customer, customer(name), found, follows));
    }
    findings
}

fn rows(version: Version<'_>) -> impl Iterator<Item = &Row> {
    let rows = version
        .customers
        .and_then(|listing| listing.rows.as_ref().ok());
    rows.into_iter().flatten()
}

fn customer_changes(old: &Row, new: &Row) -> Vec<String> {
    let mut changes = Vec::new();
    for key in new.keys.iter().filter(|key| !old.keys.contains(*key)) {
        changes.push(format!("key {} added", digest(key)));
    }
    for key in old.keys.iter().filter(|key| !new.keys.contains(*key)) {
        changes.push(format!("key {} taken away", digest(key)));
    }
    if let (Ok(old), Ok(new)) = (&old.customer, &new.customer) {
        changes.extend(profile_changes(old, new));
    } else if old.customer != new.customer {
        changes.push("its row cannot be read in both versions".to_owned());
    }
    changes
}

fn profile_changes(old: &Customer, new: &Customer) -> Vec<String> {
    let mut changes = Vec::new();
    if old.rate_limit != new.rate_limit {
        let (old, new) = (describe(old.rate_limit), describe(new.rate_limit));
        changes.push(format!("rate limit from {old} to {new}"));
    }
    if old.priority != new.priority {
        changes.push(change("priority", &old.priority, &new.priority));
    }
    if old.allowed_regions != new.allowed_regions {
        changes.push(change(
            "regions",
            &old.allowed_regions,
            &new.allowed_regions,
        ));
    }
    changes
}

fn describe(limit: Option<RateLimit>) -> String {
    limit.map_or_else(
        || "none".to_owned(),
        |limit| format!("{}/s with a burst of {}", limit.requests_per_s, limit.burst),
    )
}

/// Returns a short digest by which operators can tell keys apart without seeing them.
fn digest(key: &str) -> String {
    format!("{:08x}", xxh3_64(key.as_bytes()) >> 32)
}
