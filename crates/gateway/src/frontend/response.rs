//! HTTP responses that a VM generates itself.

use {
    crate::ResponseBody,
    bytes::Bytes,
    hyper::{
        Response, StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    std::time::Duration,
};

/// An HTTP response whose body is buffered or streamed.
pub type HttpResponse = Response<ResponseBody>;

/// Shortest delay that a `Retry-After` header states.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Creates a plain-text response.
pub(crate) fn text_response(status: StatusCode, text: &'static str) -> HttpResponse {
    let mut response = Response::new(Bytes::from_static(text.as_bytes()).into());
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Creates a 503 response for a request that no target ran, with a `Retry-After` header in
/// fractional seconds.
pub(crate) fn unavailable_response(reason: &'static str, retry_after: Duration) -> HttpResponse {
    refusal_response(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after)
}

/// Creates a 429 response for a request that no target ran, likewise.
pub(crate) fn limited_response(reason: &'static str, retry_after: Duration) -> HttpResponse {
    refusal_response(StatusCode::TOO_MANY_REQUESTS, reason, retry_after)
}

fn refusal_response(
    status: StatusCode,
    reason: &'static str,
    retry_after: Duration,
) -> HttpResponse {
    let mut response = text_response(status, reason);
    let seconds = format!("{:.3}", retry_after.max(MIN_RETRY_AFTER).as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
