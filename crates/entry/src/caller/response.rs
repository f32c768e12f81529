//! Builds the HTTP response to a caller's request.

use {
    crate::node::Response,
    actix_web::{
        HttpResponse, HttpResponseBuilder,
        http::{StatusCode, header::RETRY_AFTER},
    },
    std::time::Duration,
    wire::{Outcome, Refusal, header},
};

/// Shortest retry delay given to a caller, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MS_PER_S: u128 = 1000;

/// Builds the HTTP response: the upstream's as it came, or a JSON [`Refusal`] if no
/// upstream responded.
pub(crate) fn build_response(response: Response, request_id: &str) -> HttpResponse {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut builder = HttpResponse::build(status);
    builder.insert_header((header::OUTCOME, response.outcome.to_string()));
    builder.insert_header((header::REQUEST_ID, request_id));
    if response.outcome == Outcome::Answered {
        return build_upstream_response(builder, response);
    }
    // A zero `retry_after` means that a retry would fail too.
    let may_succeed = !response.retry_after.is_zero();
    let retry_after = if may_succeed {
        add_jitter(response.retry_after)
    } else {
        Duration::ZERO
    };
    builder.insert_header((header::REASON, response.reason.to_string()));
    if may_succeed {
        let seconds = retry_after.as_millis().div_ceil(MS_PER_S).max(1);
        builder.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    builder.json(Refusal {
        outcome: response.outcome,
        reason: response.reason,
        retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        request: request_id.to_owned(),
    })
}

fn build_upstream_response(mut builder: HttpResponseBuilder, response: Response) -> HttpResponse {
    for upstream_header in &response.headers {
        builder.append_header((
            upstream_header.name.as_str(),
            upstream_header.value.as_str(),
        ));
    }
    if !response.target.is_empty() {
        builder.insert_header((header::TARGET, response.target));
    }
    if response.replayed {
        builder.insert_header((header::REPLAYED, "true"));
    }
    builder.body(response.body)
}

/// Returns a random delay between 0.5 and 1.5 times `delay`, so that callers do not all
/// retry at once.
fn add_jitter(delay: Duration) -> Duration {
    let delay = delay.max(MIN_RETRY_AFTER);
    delay.mul_f64(0.5 + rand::random::<f64>())
}
