//! Counters and histograms, and the state dump.

use {
    crate::{GatewayError, HttpResponse, Node, frontend::text_response},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, StatusCode, body::Incoming},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    std::rc::Rc,
};

/// Starts to collect.
pub(crate) fn start() -> Result<PrometheusHandle, GatewayError> {
    let builder = PrometheusBuilder::new();
    builder
        .install_recorder()
        .map_err(|error| GatewayError::Metrics(error.to_string()))
}

/// Answers who asks for metrics or for the state.
pub(crate) fn answer(
    node: &Rc<Node>,
    handle: &PrometheusHandle,
    request: &Request<Incoming>,
) -> HttpResponse {
    match request.uri().path() {
        "/metrics" => text(handle.render()),
        "/dump" => text(dump(node)),
        _ => text_response(StatusCode::NOT_FOUND, "no such page"),
    }
}

fn text(text: String) -> HttpResponse {
    HttpResponse::new(Full::new(Bytes::from(text)))
}

/// What this VM knows, a line for each thing.
fn dump(node: &Rc<Node>) -> String {
    use std::fmt::Write as _;
    let now = node.now();
    let table = node.route_table();
    let mut out = String::new();
    // Writing to a string cannot fail.
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
    let _ = writeln!(out, "rows newest {}", node.replica().newest_version());
    for member in node.member_view().members() {
        let _ = writeln!(
            out,
            "member {} zone {} {:?} rows {}",
            member.name, member.zone, member.status, member.control
        );
    }
    let catalog = node.catalog.borrow();
    let board = node.balancer.borrow();
    for target in catalog.targets() {
        let cold = catalog.is_cold(&target.id, now);
        let ejected = board.is_ejected(&target.id, now);
        let _ = writeln!(
            out,
            "target {} service {} zone {} {:?} cold {cold} ejected {ejected}",
            target.id, target.service, target.zone, target.state
        );
    }
    out
}
