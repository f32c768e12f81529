//! Sends one request to one target and reads the whole response.

use {
    super::Clients,
    crate::node::Request,
    actix_web::{rt::time::timeout, web::Bytes},
    awc::{
        ClientRequest, ClientResponse,
        error::{ConnectError, SendRequestError},
        http::{Method, StatusCode, header::HeaderMap},
    },
    settings::Target,
    std::time::{Duration, Instant},
    wire::{Header, Reason, header},
};

/// Largest response body accepted from a target.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Delay of a timeout beyond its end from which this process is considered paused.
const LATE_TIMEOUT_THRESHOLD: Duration = Duration::from_millis(200);
/// Time after a pause to read a response that arrived during the pause.
const PAUSE_GRACE: Duration = Duration::from_millis(250);

/// Result of sending a request to a target.
#[derive(Debug)]
pub(crate) enum SendResult {
    /// The whole response arrived.
    Answered {
        status: u16,
        headers: Vec<Header>,
        body: Bytes,
        /// Time from the start of the call to the end of the response.
        elapsed: Duration,
    },
    /// The target shed the request without executing it.
    Shed,
    /// No connection was opened, so nothing was sent.
    ConnectFailed,
    /// No whole response arrived, and the request may have been executed.
    Incomplete {
        reason: Reason,
        /// Whether the target broke the connection before a response, as when it crashes.
        suspected_crash: bool,
    },
}

/// Sends a request to a target and waits for the whole response.
///
/// The deadline is passed on, so that the target does not start work that nobody
/// awaits. A timeout closes the connection, so that a late response cannot be taken for
/// that of another request.
pub(crate) async fn send_request(
    clients: &Clients,
    request: &Request,
    call: &Call<'_>,
) -> SendResult {
    let start = Instant::now();
    let http_request = build_request(clients, request, call);
    let exchange = async {
        let response = http_request.send_body(request.body.clone()).await;
        match response {
            Ok(response) => read_response(response, request, start).await,
            Err(error) => classify_send_error(&error),
        }
    };
    let mut exchange = std::pin::pin!(exchange);
    if let Ok(result) = timeout(call.timeout, &mut exchange).await {
        return result;
    }
    let was_paused = start.elapsed() > call.timeout + LATE_TIMEOUT_THRESHOLD;
    if was_paused && let Ok(result) = timeout(PAUSE_GRACE, &mut exchange).await {
        return result;
    }
    incomplete_result(Reason::UpstreamTimeout, false)
}

/// A target and the limits of one call to it.
pub(crate) struct Call<'a> {
    pub(crate) target: &'a Target,
    pub(crate) timeout: Duration,
    /// Whether to open a connection for this call instead of reusing one.
    pub(crate) needs_own_connection: bool,
    /// End of the timeout in milliseconds since the Unix epoch.
    pub(crate) deadline_ms: u64,
}

fn build_request(clients: &Clients, request: &Request, call: &Call<'_>) -> ClientRequest {
    let url = format!("http://{}{}", call.target.address, request.path);
    let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::GET);
    let mut builder = if call.needs_own_connection {
        clients.unpooled.request(method, url).force_close()
    } else {
        clients.pooled.request(method, url)
    };
    for forwarded in &request.headers {
        builder = builder.insert_header((forwarded.name.as_str(), forwarded.value.as_str()));
    }
    if !request.idempotency_key.is_empty() {
        builder =
            builder.insert_header((header::IDEMPOTENCY_KEY, request.idempotency_key.as_str()));
    }
    builder
        .insert_header((header::REQUEST_ID, request.id.as_str()))
        .insert_header((header::DEADLINE_MS, call.deadline_ms.to_string()))
        .no_decompress()
}

/// Reads the whole response. A body without a matching `content-length` counts as cut
/// short.
async fn read_response<S>(
    mut response: ClientResponse<S>,
    request: &Request,
    start: Instant,
) -> SendResult
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>>,
{
    let status = response.status();
    let is_shed = response.headers().contains_key(header::SHED);
    if is_shed && status == StatusCode::SERVICE_UNAVAILABLE {
        return SendResult::Shed;
    }
    let echoed_id = response.headers().get(header::REQUEST_ID);
    if echoed_id.is_some_and(|echoed_id| echoed_id != request.id.as_str()) {
        log::error!(event = "foreign_answer", request = request.id.as_str(); "discarded a response that carries the identifier of another request");
        return incomplete_result(Reason::AnswerLost, false);
    }
    if !wire::status::is_final(status.as_u16()) {
        log::warn!(event = "malformed_answer", request = request.id.as_str(), status = status.as_u16(); "discarded a response whose status is that of no final response");
        return incomplete_result(Reason::UpstreamBroke, false);
    }
    let content_length = content_length(response.headers());
    let headers = forwarded_headers(response.headers());
    // The target sent a response head, so the request did not crash it.
    let Ok(body) = response.body().limit(MAX_RESPONSE_BYTES).await else {
        return incomplete_result(Reason::UpstreamBroke, false);
    };
    let has_no_body = request.method == "HEAD";
    if !has_no_body && content_length != Some(body.len()) {
        return incomplete_result(Reason::UpstreamBroke, false);
    }
    SendResult::Answered {
        status: status.as_u16(),
        headers,
        body,
        elapsed: start.elapsed(),
    }
}

fn content_length(headers: &HeaderMap) -> Option<usize> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}

/// Returns the headers to forward to the caller. Headers of one hop, headers reserved
/// for this system and values that are not ASCII text are dropped.
fn forwarded_headers(headers: &HeaderMap) -> Vec<Header> {
    let end_to_end = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        !header::HOP_BY_HOP.contains(&name) && !name.starts_with("cicadalift-")
    });
    let forwarded = end_to_end.filter_map(|(name, value)| {
        Some(Header {
            name: name.as_str().to_owned(),
            value: value.to_str().ok()?.to_owned(),
        })
    });
    forwarded.collect()
}

/// Maps an error of sending a request. Only a failure to connect proves that nothing
/// was sent.
fn classify_send_error(error: &SendRequestError) -> SendResult {
    match error {
        // awc also returns this error if an open connection is closed before a response
        // arrives; the request may already have been sent.
        SendRequestError::Connect(ConnectError::Disconnected) => {
            incomplete_result(Reason::UpstreamBroke, true)
        }
        SendRequestError::Connect(_) | SendRequestError::Url(_) => SendResult::ConnectFailed,
        _ => incomplete_result(Reason::UpstreamBroke, true),
    }
}

fn incomplete_result(reason: Reason, suspected_crash: bool) -> SendResult {
    SendResult::Incomplete {
        reason,
        suspected_crash,
    }
}
