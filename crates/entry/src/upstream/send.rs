//! One request to one target and its whole answer.

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

/// Largest answer taken from an upstream.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// A timeout that fires so late means that this process was paused.
const PAUSE: Duration = Duration::from_millis(200);
/// After a pause, time to read an answer that came in the meantime.
const PAUSE_GRACE: Duration = Duration::from_millis(250);

/// How an exchange ended.
#[derive(Debug)]
pub(crate) enum SendResult {
    /// The whole answer arrived.
    Answered {
        status: u16,
        headers: Vec<Header>,
        body: Bytes,
        elapsed: Duration,
    },
    /// The target said that it did not run the request.
    Shed,
    /// No connection was opened, so nothing was sent.
    ConnectFailed,
    /// The exchange ended without a whole answer after it may have been sent.
    Incomplete {
        reason: Reason,
        /// Whether the target broke the connection, as when it crashes.
        suspected_crash: bool,
    },
}

/// Sends a request to a target and waits for its whole answer.
///
/// The target gets the deadline, so that it does not start work which nobody
/// awaits. A timeout closes the connection: its late answer cannot reach anyone.
pub(crate) async fn send_request(
    clients: &Clients,
    request: &Request,
    target: &Call<'_>,
) -> SendResult {
    let start = Instant::now();
    let built = build(clients, request, target);
    let whole = async {
        let response = built.send_body(request.body.clone()).await;
        match response {
            Ok(response) => receive(response, request, start).await,
            Err(error) => classify(&error),
        }
    };
    let mut whole = std::pin::pin!(whole);
    if let Ok(ending) = timeout(target.timeout, &mut whole).await {
        return ending;
    }
    let paused = start.elapsed() > target.timeout + PAUSE;
    if paused && let Ok(ending) = timeout(PAUSE_GRACE, &mut whole).await {
        return ending;
    }
    broke(Reason::UpstreamTimeout, false)
}

/// A target with the time that it has for a request.
pub(crate) struct Call<'a> {
    pub(crate) target: &'a Target,
    pub(crate) timeout: Duration,
    /// Whether to open a connection for it.
    pub(crate) new_connection: bool,
    /// The same bound in milliseconds since the epoch.
    pub(crate) deadline_ms: u64,
}

fn build(clients: &Clients, request: &Request, target: &Call<'_>) -> ClientRequest {
    let url = format!("http://{}{}", target.target.address, request.path);
    let method = Method::from_bytes(request.method.as_bytes()).unwrap_or(Method::GET);
    let mut built = if target.new_connection {
        clients.unpooled.request(method, url).force_close()
    } else {
        clients.pooled.request(method, url)
    };
    for one in &request.headers {
        built = built.insert_header((one.name.as_str(), one.value.as_str()));
    }
    if !request.idempotency_key.is_empty() {
        built = built.insert_header((header::IDEMPOTENCY_KEY, request.idempotency_key.as_str()));
    }
    built
        .insert_header((header::REQUEST_ID, request.id.as_str()))
        .insert_header((header::DEADLINE_MS, target.deadline_ms.to_string()))
        .no_decompress()
}

async fn receive<S>(
    mut response: ClientResponse<S>,
    request: &Request,
    start: Instant,
) -> SendResult
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>>,
{
    let status = response.status();
    let shed = response.headers().contains_key(header::SHED);
    if shed && status == StatusCode::SERVICE_UNAVAILABLE {
        return SendResult::Shed;
    }
    let echoed = response.headers().get(header::REQUEST_ID);
    if echoed.is_some_and(|echoed| echoed != request.id.as_str()) {
        log::error!(event = "foreign_answer", request = request.id.as_str(); "answer of another request");
        return broke(Reason::AnswerLost, false);
    }
    let declared = declared_length(response.headers());
    let headers = passed_on(response.headers());
    // The target got as far as an answer, so the request did not crash it.
    let Ok(body) = response.body().limit(MAX_ANSWER_BYTES).await else {
        return broke(Reason::UpstreamBroke, false);
    };
    let no_body = request.method == "HEAD";
    if !no_body && declared != Some(body.len()) {
        return broke(Reason::UpstreamBroke, false);
    }
    SendResult::Answered {
        status: status.as_u16(),
        headers,
        body,
        elapsed: start.elapsed(),
    }
}

fn declared_length(headers: &HeaderMap) -> Option<usize> {
    headers.get("content-length")?.to_str().ok()?.parse().ok()
}

fn passed_on(headers: &HeaderMap) -> Vec<Header> {
    let kept = headers.iter().filter(|(name, _)| {
        let name = name.as_str();
        !header::HOP_BY_HOP.contains(&name) && !name.starts_with("cicadalift-")
    });
    let text = kept.filter_map(|(name, value)| {
        Some(Header {
            name: name.as_str().to_owned(),
            value: value.to_str().ok()?.to_owned(),
        })
    });
    text.collect()
}

/// Only a failure to connect proves that nothing was sent.
fn classify(error: &SendRequestError) -> SendResult {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => broke(Reason::UpstreamBroke, true),
        SendRequestError::Connect(_) | SendRequestError::Url(_) => SendResult::ConnectFailed,
        _ => broke(Reason::UpstreamBroke, true),
    }
}

fn broke(reason: Reason, suspected_crash: bool) -> SendResult {
    SendResult::Incomplete {
        reason,
        suspected_crash,
    }
}
