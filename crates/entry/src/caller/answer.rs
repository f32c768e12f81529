//! Turns an answer into HTTP.

use {
    crate::node::Response,
    actix_web::{
        HttpResponse, HttpResponseBuilder,
        http::{StatusCode, header::RETRY_AFTER},
    },
    std::time::Duration,
    wire::{Outcome, Refusal, header},
};

const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
const MS_PER_S: u128 = 1000;

/// The HTTP answer: an upstream's as it came, any other with a machine-readable body.
pub(crate) fn render(answer: Response, request: &str) -> HttpResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = HttpResponse::build(status);
    response.insert_header((header::OUTCOME, answer.outcome.to_string()));
    response.insert_header((header::REQUEST_ID, request));
    if answer.outcome == Outcome::Answered {
        return render_upstream(response, answer);
    }
    // No time means that the request will not be served later either.
    let may_succeed = !answer.retry_after.is_zero();
    let wait = if may_succeed {
        spread(answer.retry_after)
    } else {
        Duration::ZERO
    };
    response.insert_header((header::REASON, answer.reason.to_string()));
    if may_succeed {
        let seconds = wait.as_millis().div_ceil(MS_PER_S).max(1);
        response.insert_header((RETRY_AFTER, seconds.to_string()));
    }
    response.json(Refusal {
        outcome: answer.outcome,
        reason: answer.reason,
        retry_after_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
        request: request.to_owned(),
    })
}

fn render_upstream(mut response: HttpResponseBuilder, answer: Response) -> HttpResponse {
    for one in &answer.headers {
        response.append_header((one.name.as_str(), one.value.as_str()));
    }
    if !answer.target.is_empty() {
        response.insert_header((header::TARGET, answer.target));
    }
    if answer.replayed {
        response.insert_header((header::REPLAYED, "true"));
    }
    response.body(answer.body)
}

/// Spreads callers over half to one and a half of the time, so that they do not
/// all come back at once.
fn spread(wait: Duration) -> Duration {
    let wait = wait.max(MIN_RETRY_AFTER);
    wait.mul_f64(0.5 + rand::random::<f64>())
}
