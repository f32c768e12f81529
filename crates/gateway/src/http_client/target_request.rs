//! A caller's request as it is sent to a target, and where and until when it is sent.

use {
    super::{
        request::headers_length,
        send_tracker::{Receiver, SendTracker},
    },
    crate::HeaderNames,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{HeaderMap, Method, Request, Uri, header::HeaderValue},
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// A caller's request as it is sent to targets, without hop-by-hop headers.
#[derive(Debug)]
pub(crate) struct TargetRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) request_id: HeaderValue,
}

impl TargetRequest {
    /// Returns the length of the request without its first line.
    pub(crate) fn length(&self) -> usize {
        headers_length(&self.headers) + self.body.len()
    }
}

/// Destination and time limits of one send.
pub(crate) struct Attempt<'a> {
    pub(crate) target_id: &'a str,
    /// Address of the target, or of the VM that the request is relayed through.
    pub(crate) address: SocketAddr,
    pub(crate) deadline: Instant,
    pub(crate) connect_timeout: Duration,
    /// On which connections the request may be sent.
    pub(crate) reuse: Reuse,
    pub(crate) receiver: Receiver,
    /// Learns when the request is sent, and that it was not run.
    pub(crate) tracker: &'a SendTracker,
}

/// On which connections a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reuse {
    /// On any that is idle.
    Any,
    /// On one that was just in use, as the request may run once only.
    Recent,
    /// Only on one that is opened for it and closed after it, as the request may run once only.
    Never,
}

/// Builds the request with the remaining time and the identifier of the expected target.
pub(super) fn build_request(
    header_names: &HeaderNames,
    request: &TargetRequest,
    attempt: &Attempt<'_>,
) -> Request<Full<Bytes>> {
    let mut http_request = build_request_with_deadline(header_names, request, attempt);
    if let Ok(id) = HeaderValue::from_str(attempt.target_id) {
        http_request
            .headers_mut()
            .insert(header_names.expect_target.clone(), id);
    }
    http_request
}

/// Builds the request with a header that states the remaining time in milliseconds.
pub(super) fn build_request_with_deadline(
    header_names: &HeaderNames,
    request: &TargetRequest,
    attempt: &Attempt<'_>,
) -> Request<Full<Bytes>> {
    let mut http_request = Request::new(Full::new(request.body.clone()));
    *http_request.method_mut() = request.method.clone();
    *http_request.uri_mut() = request.uri.clone();
    *http_request.headers_mut() = request.headers.clone();
    let time_left = attempt.deadline.saturating_duration_since(Instant::now());
    let time_left_ms = HeaderValue::from(u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX));
    http_request
        .headers_mut()
        .insert(header_names.deadline_ms.clone(), time_left_ms);
    http_request
}
