//! HTTP endpoints for Prometheus metrics and for a text dump of the node's state.

use {
    crate::{GatewayError, HttpResponse, Node, frontend::text_response},
    bytes::Bytes,
    hyper::{Request, StatusCode, body::Incoming},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    std::rc::Rc,
};

/// Installs the global Prometheus recorder and returns the handle that renders its metrics.
pub(crate) fn install_recorder() -> Result<PrometheusHandle, GatewayError> {
    let builder = PrometheusBuilder::new();
    builder
        .install_recorder()
        .map_err(|error| GatewayError::Metrics(error.to_string()))
}

/// Responds to a request for the metrics or the state dump.
pub(crate) fn respond(
    node: &Rc<Node>,
    handle: &PrometheusHandle,
    request: &Request<Incoming>,
) -> HttpResponse {
    match request.uri().path() {
        "/metrics" => ok_response(handle.render()),
        "/dump" => ok_response(dump_state(node)),
        _ => text_response(StatusCode::NOT_FOUND, "no such page"),
    }
}

fn ok_response(text: String) -> HttpResponse {
    HttpResponse::new(Bytes::from(text).into())
}

/// Returns the node's state as text: the VM, routes, rows, and a line for each member and target.
fn dump_state(node: &Rc<Node>) -> String {
    use std::fmt::Write as _;
    let now = node.now();
    let table = node.route_table();
    let mut out = String::new();
    // Writing to a String cannot fail, so the results are ignored.
    let _ = writeln!(
        out,
        "vm {} zone {} ready {}",
        node.settings.name,
        node.settings.zone,
        node.is_ready()
    );
    let _ = writeln!(
        out,
        "routes version {} count {}",
        table.version(),
        table.len()
    );
    let customers = node.customers();
    if let Some(customers) = &customers {
        let age = node.configuration_age();
        let age = age.map_or_else(
            || "unknown".to_owned(),
            |age| format!("{} ms", crate::node::duration_ms(age)),
        );
        let _ = writeln!(
            out,
            "customers {} faults {} configuration age {age}",
            customers.len(),
            customers.faults().len()
        );
    }
    let _ = writeln!(out, "rows newest {}", node.replica().newest_revision());
    let links = node.links.borrow();
    for member in node.member_view().members() {
        let link = links.rate(&member.name);
        let link = link.map_or_else(|| "unknown".to_owned(), |mbps| format!("{mbps} Mbit/s"));
        let _ = writeln!(
            out,
            "member {} zone {} {:?} rows {} link {link}",
            member.name, member.zone, member.status, member.control
        );
    }
    node.dump_quotas(&mut out);
    let catalog = node.catalog.borrow();
    let balancer = node.balancer.borrow();
    for target in catalog.targets() {
        let is_cold = catalog.is_cold(&target.id, now);
        let is_ejected = balancer.is_ejected(&target.id, now);
        let row = catalog.row_revision(&target.id).unwrap_or_default();
        let _ = writeln!(
            out,
            "target {} service {} zone {} {:?} cold {is_cold} ejected {is_ejected} row {row}",
            target.id, target.service, target.zone, target.state
        );
        if catalog.is_leaving(&target.id) {
            let _ = writeln!(out, "target {} leaves by its own word", target.id);
        }
        let rest = balancer.statements.rest_left(&target.id, now);
        if !rest.is_zero() {
            let _ = writeln!(out, "target {} rests for {rest:?} more", target.id);
        }
        if let Some(limit) = balancer.statements.rate_limit(&target.id) {
            let _ = writeln!(
                out,
                "target {} limited to {} requests/s for {:?}, stated {:?} ago, heard from {:?}",
                target.id,
                limit.requests_per_s,
                now.saturating_sub(limit.since),
                now.saturating_sub(limit.stated_at),
                limit.source
            );
        }
    }
    out
}
