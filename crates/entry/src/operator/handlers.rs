//! Routes of the listener for operators.

use {
    super::{auth, dump, propose},
    crate::run::Context,
    actix_web::{HttpRequest, HttpResponse, web},
    metrics_exporter_prometheus::PrometheusHandle,
    ports::Platform,
    serde_json::json,
    wire::Proposal,
};

/// What the operators' handlers need on their thread.
pub(crate) struct Shared {
    pub(crate) context: Context,
    pub(crate) platform: Platform,
    pub(crate) metrics: PrometheusHandle,
}

/// Health and metrics are open; all else needs the credential.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/live", web::get().to(HttpResponse::Ok))
        .route("/ready", web::get().to(ready))
        .route("/metrics", web::get().to(metrics))
        .route("/v1/state", web::get().to(state))
        .route("/v1/status", web::get().to(status))
        .route("/v1/changes", web::post().to(change));
}

async fn ready(shared: web::Data<Shared>) -> HttpResponse {
    match shared.context.node.unavailable_reason() {
        None => HttpResponse::Ok().json(json!({"ready": true})),
        Some(reason) => {
            HttpResponse::ServiceUnavailable().json(json!({"ready": false, "reason": reason}))
        }
    }
}

async fn metrics(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(shared.metrics.render())
}

async fn state(shared: web::Data<Shared>, http: HttpRequest) -> HttpResponse {
    let node = &shared.context.node;
    if !auth::allowed(&http, &node.vm.operator_token) {
        return HttpResponse::Unauthorized().finish();
    }
    HttpResponse::Ok().json(dump::dump(node))
}

async fn status(shared: web::Data<Shared>, http: HttpRequest) -> HttpResponse {
    let node = &shared.context.node;
    if !auth::allowed(&http, &node.vm.operator_token) {
        return HttpResponse::Unauthorized().finish();
    }
    let state = node.state();
    HttpResponse::Ok().json(json!({
        "control": state.replica.current(),
        "members": state.view.members(),
    }))
}

async fn change(
    shared: web::Data<Shared>,
    http: HttpRequest,
    proposal: web::Json<Proposal>,
) -> HttpResponse {
    let node = &shared.context.node;
    if !auth::allowed(&http, &node.vm.operator_token) {
        return HttpResponse::Unauthorized().finish();
    }
    let decision =
        propose::propose(node, &shared.platform, &shared.context.clients, &proposal).await;
    HttpResponse::Ok().json(decision)
}
