//! Handler of requests that callers send to services.

use {
    super::{lookup, parse, response},
    crate::{
        node::{InFlightGuard, Response},
        run::Context,
        steering,
    },
    actix_web::{HttpRequest, HttpResponse, web},
    std::time::Duration,
    uuid::Uuid,
    wire::{Outcome, Reason},
};

/// Largest request body accepted from a caller.
pub(crate) const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Registers the routes of the listener for callers.
pub(crate) fn configure_routes(config: &mut web::ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
        .route("/v1/lookup", web::get().to(lookup::handle_lookup))
        .default_service(web::to(handle_request));
}

/// Reads, checks and steers a request, and counts and logs its outcome.
async fn handle_request(
    context: web::Data<Context>,
    http: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let request_id = Uuid::new_v4().simple().to_string();
    let _in_flight = InFlightGuard::new(&context.node);
    let response = match read_body(payload).await {
        Ok(body) => parse_and_steer(&context, &http, body, &request_id).await,
        Err(reason) => Response::refusal(Outcome::NotRun, reason, Duration::ZERO),
    };
    let (outcome, reason) = (response.outcome, response.reason);
    metrics::counter!("requests_total", "outcome" => outcome.to_string(), "reason" => reason.to_string())
        .increment(1);
    log::info!(event = "request_ended", request = request_id.as_str(), outcome:% = outcome, reason:% = reason, status = response.status, target = response.target.as_str(); "request ended");
    response::build_response(response, &request_id)
}

async fn parse_and_steer(
    context: &Context,
    http: &HttpRequest,
    body: web::Bytes,
    request_id: &str,
) -> Response {
    match parse::parse_request(&context.node, http, body, request_id) {
        Ok(request) => steering::steer_request(context, &request).await,
        Err(response) => response,
    }
}

/// Reads the whole request body, so that a body that is cut short, late or too large
/// reaches no upstream.
async fn read_body(payload: web::Payload) -> Result<web::Bytes, Reason> {
    let read = payload.to_bytes_limited(MAX_BODY_BYTES);
    match actix_web::rt::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(_))) | Err(_) => Err(Reason::Malformed),
        Ok(Err(_)) => Err(Reason::TooLarge),
    }
}

/// Time within which a caller must have sent its request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
