//! Routes and handlers of the listener for operators.

use {
    super::{auth, dump, propose},
    crate::run::Context,
    actix_web::{HttpRequest, HttpResponse, web},
    metrics_exporter_prometheus::PrometheusHandle,
    ports::Platform,
    serde_json::json,
    wire::Proposal,
};

/// Application data of the handlers; each worker thread has its own.
pub(crate) struct AppData {
    pub(crate) context: Context,
    pub(crate) platform: Platform,
    pub(crate) metrics: PrometheusHandle,
}

/// Registers the routes. Health and metrics are public; the others require the operator
/// token.
pub(crate) fn configure_routes(config: &mut web::ServiceConfig) {
    config
        .route("/live", web::get().to(HttpResponse::Ok))
        .route("/ready", web::get().to(get_readiness))
        .route("/metrics", web::get().to(get_metrics))
        .route("/v1/state", web::get().to(get_state))
        .route("/v1/status", web::get().to(get_status))
        .route("/v1/changes", web::post().to(post_change));
}

async fn get_readiness(app_data: web::Data<AppData>) -> HttpResponse {
    match app_data.context.node.unavailable_reason() {
        None => HttpResponse::Ok().json(json!({"ready": true})),
        Some(reason) => {
            HttpResponse::ServiceUnavailable().json(json!({"ready": false, "reason": reason}))
        }
    }
}

async fn get_metrics(app_data: web::Data<AppData>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/plain; version=0.0.4")
        .body(app_data.metrics.render())
}

async fn get_state(app_data: web::Data<AppData>, http: HttpRequest) -> HttpResponse {
    let node = &app_data.context.node;
    if !auth::is_authorized(&http, &node.vm.operator_token) {
        return HttpResponse::Unauthorized().finish();
    }
    HttpResponse::Ok().json(dump::dump_state(node))
}

async fn get_status(app_data: web::Data<AppData>, http: HttpRequest) -> HttpResponse {
    let node = &app_data.context.node;
    if !auth::is_authorized(&http, &node.vm.operator_token) {
        return HttpResponse::Unauthorized().finish();
    }
    let state = node.state();
    HttpResponse::Ok().json(json!({
        "control": state.replica.current(),
        "members": state.view.members(),
    }))
}

async fn post_change(
    app_data: web::Data<AppData>,
    http: HttpRequest,
    proposal: web::Json<Proposal>,
) -> HttpResponse {
    let node = &app_data.context.node;
    if !auth::is_authorized(&http, &node.vm.operator_token) {
        return HttpResponse::Unauthorized().finish();
    }
    let decision = propose::propose_change(
        node,
        &app_data.platform,
        &app_data.context.clients,
        &proposal,
    )
    .await;
    HttpResponse::Ok().json(decision)
}
