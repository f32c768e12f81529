//! Identifies the customer of a request by its key, and states the customer's name to targets.
//!
//! See `docs/design/customers.md`.

use {
    super::response::{HttpResponse, text_response, unavailable_response},
    crate::{HeaderNames, Node, node::duration_ms},
    customer::{Identity, Refusal},
    hyper::{HeaderMap, StatusCode, header::HeaderValue},
    route::Route,
    std::{rc::Rc, time::Duration},
};

/// `Retry-After` of a request that cannot be served before the operator changes the configuration.
const UNCLEAR_RETRY_AFTER: Duration = Duration::from_secs(5);

/// `Retry-After` of a VM whose configuration is too old: meanwhile it asks another VM, or the caller
/// finds one.
const OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Returns whom a caller's request comes from, or the response that refuses it.
pub(super) fn identify_caller(
    node: &Rc<Node>,
    route: &Route,
    headers: &HeaderMap,
    request_id: &str,
) -> Result<Identity, Box<HttpResponse>> {
    let Some(registry) = node.customers() else {
        return Ok(Identity::NotAsked);
    };
    if route.is_public {
        return Ok(Identity::Anyone);
    }
    if !node.may_trust_keys() {
        return Err(Box::new(refuse_outdated(node, route, request_id)));
    }
    let keys = headers.get_all(&node.header_names.customer_key);
    let customer = registry
        .identify(keys.iter().map(HeaderValue::as_bytes))
        .map_err(|refusal| Box::new(refuse(node, refusal, route, request_id)))?;
    let regions = &customer.allowed_regions;
    if !regions.is_empty() && !regions.iter().any(|region| route.allows_region(region)) {
        log::info!(event = "request_refused", request = request_id, status = 503, reason = "no common region", route = route.name.as_str(), customer = customer.name.as_str(); "request refused: no region is allowed by both its route and its customer");
        count_refusal("no common region");
        let response = unavailable_response("no common region", UNCLEAR_RETRY_AFTER);
        return Err(Box::new(response));
    }
    Ok(Identity::Known(customer.clone()))
}

/// Returns whom a request comes from that another VM relays and that belongs to the customer of
/// this name. Returns `None` if the name is missing or not known here.
pub(super) fn identify_relayed(node: &Node, route: &Route, name: Option<&str>) -> Option<Identity> {
    let Some(registry) = node.customers() else {
        return Some(Identity::NotAsked);
    };
    if route.is_public {
        return Some(Identity::Anyone);
    }
    registry.find(name?).cloned().map(Identity::Known)
}

/// Replaces what a caller said of its customer by what is known of it, in the headers for targets.
pub(super) fn set_customer(names: &HeaderNames, headers: &mut HeaderMap, identity: &Identity) {
    if *identity == Identity::NotAsked {
        return;
    }
    headers.remove(&names.customer_key);
    headers.remove(&names.customer);
    let customer = identity.customer();
    if let Some(name) = customer.and_then(|c| HeaderValue::from_str(&c.name).ok()) {
        headers.insert(names.customer.clone(), name);
    }
}

fn refuse(node: &Node, refusal: Refusal, route: &Route, request_id: &str) -> HttpResponse {
    let status = if refusal.is_final() { 401 } else { 503 };
    let version = node.route_table().version();
    log::info!(event = "request_refused", request = request_id, status = status, reason = refusal.as_str(), route = route.name.as_str(), version = version; "request refused: it names no customer that can be served");
    count_refusal(refusal.as_str());
    if refusal.is_final() {
        text_response(StatusCode::UNAUTHORIZED, "no known key")
    } else {
        unavailable_response("unclear customer", UNCLEAR_RETRY_AFTER)
    }
}

fn refuse_outdated(node: &Node, route: &Route, request_id: &str) -> HttpResponse {
    let version = node.route_table().version();
    let age_ms = node.configuration_age().map(duration_ms);
    let age_ms = age_ms.map_or_else(|| "unknown".to_owned(), |age_ms| age_ms.to_string());
    let reason = "outdated configuration";
    log::info!(event = "request_refused", request = request_id, status = 503, reason = reason, route = route.name.as_str(), version = version, age_ms = age_ms.as_str(); "request refused: its key may have been withdrawn since the configuration was last confirmed");
    count_refusal(reason);
    unavailable_response(reason, OUTDATED_RETRY_AFTER)
}

fn count_refusal(reason: &'static str) {
    metrics::counter!("cicadalift_customer_refusals_total", "reason" => reason).increment(1);
}
