//! Answers that a VM makes itself.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Response, StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    std::time::Duration,
};

/// An answer with a whole body.
pub type HttpResponse = Response<Full<Bytes>>;

/// Shortest time to come back that is stated.
const MIN_RETRY: Duration = Duration::from_millis(20);

/// An answer of this VM's own with a short reason.
pub(crate) fn text_response(status: StatusCode, reason: &'static str) -> HttpResponse {
    let mut answer = Response::new(Full::new(Bytes::from_static(reason.as_bytes())));
    *answer.status_mut() = status;
    let text = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(CONTENT_TYPE, text);
    answer
}

/// A refusal of a request that has not run, with the time after which to come back.
pub(crate) fn refusal(reason: &'static str, after: Duration) -> HttpResponse {
    let mut answer = text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    let seconds = format!("{:.3}", after.max(MIN_RETRY).as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}
