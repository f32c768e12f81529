//! Sends one request to one target.

use {
    super::{Broken, Client, NotRun, Outcome, Response, connection::Connection},
    crate::HeaderNames,
    balance::LoadReport,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{HeaderMap, Method, Request, StatusCode, Uri, body::Incoming, header::HeaderValue},
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Longest answer that is held.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Idle connections are closed this much before the target may close them.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle time where the target states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(3);
const READY_WAIT: Duration = Duration::from_secs(1);

/// A request as it goes to targets.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) id: HeaderValue,
}

/// Where and until when to send.
pub(crate) struct Way<'a> {
    pub(crate) target: &'a str,
    pub(crate) address: SocketAddr,
    pub(crate) deadline: Instant,
    pub(crate) connect_timeout: Duration,
    /// Opens a connection for this request alone, so that no late answer can lie on it.
    pub(crate) alone: bool,
}

/// An answer as it came.
pub(super) struct Raw {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

impl Client {
    /// Sends a request to a target and reads the whole answer.
    pub(crate) async fn send(
        self: &std::rc::Rc<Self>,
        names: &HeaderNames,
        outgoing: &Outgoing,
        way: &Way<'_>,
    ) -> Outcome {
        let request = request(names, outgoing, way);
        let (raw, connection) = match self.transfer(request, way).await {
            Ok(transferred) => transferred,
            Err(outcome) => return outcome,
        };
        let outcome = judge(names, outgoing, raw);
        if let Outcome::Answered(response) = &outcome {
            self.keep_when_ready(way, connection, idle_limit(&response.headers));
        }
        outcome
    }

    /// Sends a request and reads what comes back, without a look at what it says.
    pub(super) async fn transfer(
        &self,
        mut request: Request<Full<Bytes>>,
        way: &Way<'_>,
    ) -> Result<(Raw, Connection), Outcome> {
        let mut reused = if way.alone {
            None
        } else {
            self.take(way.address)
        };
        loop {
            let is_reused = reused.is_some();
            let mut connection = match reused.take() {
                Some(connection) => connection,
                None => match self.open(way).await {
                    Some(connection) => connection,
                    None => return Err(Outcome::unreachable()),
                },
            };
            let sent = connection.sender.try_send_request(request);
            let answer = match tokio::time::timeout_at(way.deadline, sent).await {
                Err(_) => return Err(Outcome::TimedOut),
                Ok(Err(mut failed)) => match failed.take_message() {
                    // The target closed it while it was idle.
                    Some(unsent) if is_reused => {
                        request = unsent;
                        continue;
                    }
                    Some(_) => {
                        return Err(Outcome::NotRun {
                            why: NotRun::Unsent,
                            report: None,
                        });
                    }
                    None => return Err(Outcome::Broken(Broken::Lost)),
                },
                Ok(Ok(answer)) => answer,
            };
            let (parts, body) = answer.into_parts();
            let body = match tokio::time::timeout_at(way.deadline, collect(body)).await {
                Err(_) => return Err(Outcome::TimedOut),
                Ok(Err(broken)) => return Err(Outcome::Broken(broken)),
                Ok(Ok(body)) => body,
            };
            let raw = Raw {
                status: parts.status,
                headers: parts.headers,
                body,
            };
            return Ok((raw, connection));
        }
    }

    async fn open(&self, way: &Way<'_>) -> Option<Connection> {
        let start = Instant::now();
        let until = way.deadline.min(start + way.connect_timeout);
        let opened = tokio::time::timeout_at(until, Connection::open(way.address)).await;
        let connection = opened.ok()?.ok()?;
        self.note_round_trip(way.address, start.elapsed());
        Some(connection)
    }

    /// Keeps the connection once the target has read the whole request too.
    pub(super) fn keep_when_ready(
        self: &std::rc::Rc<Self>,
        way: &Way<'_>,
        mut connection: Connection,
        limit: Duration,
    ) {
        if way.alone {
            return;
        }
        let client = self.clone();
        let address = way.address;
        tokio::task::spawn_local(async move {
            let ready = tokio::time::timeout(READY_WAIT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                client.keep(address, connection, limit);
            }
        });
    }
}

fn request(names: &HeaderNames, outgoing: &Outgoing, way: &Way<'_>) -> Request<Full<Bytes>> {
    let mut request = with_deadline(names, outgoing, way);
    if let Ok(id) = HeaderValue::from_str(way.target) {
        request
            .headers_mut()
            .insert(names.expect_target.clone(), id);
    }
    request
}

/// The request with the time that is left to it.
pub(super) fn with_deadline(
    names: &HeaderNames,
    outgoing: &Outgoing,
    way: &Way<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(outgoing.body.clone()));
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri.clone();
    *request.headers_mut() = outgoing.headers.clone();
    let left = way.deadline.saturating_duration_since(Instant::now());
    let left = HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
    request
        .headers_mut()
        .insert(names.deadline_ms.clone(), left);
    request
}

async fn collect(body: Incoming) -> Result<Bytes, Broken> {
    let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    match whole {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Broken::TooLong),
        Err(_) => Err(Broken::Cut),
    }
}

pub(super) fn judge(names: &HeaderNames, outgoing: &Outgoing, raw: Raw) -> Outcome {
    let Raw {
        status,
        headers,
        body,
    } = raw;
    let report = headers.get(&names.load).and_then(read_load);
    let echoed = headers.get(&names.request_id);
    if echoed.is_some_and(|echoed| *echoed != outgoing.id) {
        return Outcome::Broken(Broken::Foreign);
    }
    let stated = headers.contains_key(&names.not_run);
    if status == StatusCode::MISDIRECTED_REQUEST || stated {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        return Outcome::NotRun {
            why: if misdirected {
                NotRun::Misdirected
            } else {
                NotRun::Shed
            },
            report,
        };
    }
    if echoed.is_none() {
        return Outcome::Broken(Broken::Foreign);
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        return Outcome::Broken(Broken::Unsigned);
    }
    Outcome::Answered(Box::new(Response {
        status,
        headers,
        body,
        report,
    }))
}

pub(super) fn read_load(value: &HeaderValue) -> Option<LoadReport> {
    let mut parts = value
        .to_str()
        .ok()?
        .split(',')
        .map(|part| part.trim().parse());
    let mut next = || parts.next()?.ok();
    Some(LoadReport {
        running: next()?,
        waiting: next()?,
        slots: next()?,
    })
}

/// How long the connection may be idle, by the target's `Keep-Alive` header.
pub(super) fn idle_limit(headers: &HeaderMap) -> Duration {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let stated = value.and_then(|value| {
        let mut parts = value.split(',').map(str::trim);
        parts.find_map(|part| part.strip_prefix("timeout=")?.parse().ok())
    });
    stated.map_or(DEFAULT_IDLE, |s| {
        Duration::from_secs(s).saturating_sub(IDLE_MARGIN)
    })
}
