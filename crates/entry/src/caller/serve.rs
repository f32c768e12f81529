//! Takes callers' requests.

use {
    super::{answer, lookup, parse},
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

/// Largest body of a caller's request.
pub(crate) const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// Routes of the listener for callers.
pub(crate) fn routes(config: &mut web::ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(MAX_REQUEST_BYTES))
        .route("/v1/lookup", web::get().to(lookup::lookup))
        .default_service(web::to(serve));
}

async fn serve(
    context: web::Data<Context>,
    http: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let id = Uuid::new_v4().simple().to_string();
    let _in_flight = InFlightGuard::begin(&context.node);
    let answer = match body(payload).await {
        Ok(body) => take(&context, &http, body, &id).await,
        Err(reason) => Response::refusal(Outcome::NotRun, reason, Duration::ZERO),
    };
    let (outcome, reason) = (answer.outcome, answer.reason);
    metrics::counter!("requests_total", "outcome" => outcome.to_string(), "reason" => reason.to_string())
        .increment(1);
    log::info!(event = "request_ended", request = id.as_str(), outcome:% = outcome, reason:% = reason, status = answer.status, target = answer.target.as_str(); "request ended");
    answer::render(answer, &id)
}

async fn take(context: &Context, http: &HttpRequest, body: web::Bytes, id: &str) -> Response {
    match parse::parse(&context.node, http, body, id) {
        Ok(request) => steering::steer_request(context, &request).await,
        Err(answer) => answer,
    }
}

/// Reads the whole body; one that is cut short or too large reaches no upstream.
async fn body(payload: web::Payload) -> Result<web::Bytes, Reason> {
    let read = payload.to_bytes_limited(MAX_REQUEST_BYTES);
    match actix_web::rt::time::timeout(BODY_TIMEOUT, read).await {
        Ok(Ok(Ok(body))) => Ok(body),
        Ok(Ok(Err(_))) | Err(_) => Err(Reason::Malformed),
        Ok(Err(_)) => Err(Reason::TooLarge),
    }
}

/// Time for a caller to send its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
