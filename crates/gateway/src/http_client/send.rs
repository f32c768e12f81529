//! Sends one request to one target, or to a VM that relays it, and receives the response.

use {
    super::{
        Client, NotExecutedReason, Outcome, Reply, ResponseBody, ResponseFault,
        buffered::Buffered,
        classify::{RawBody, RawResponse, check_head, classify_response},
        client::CheckIn,
        connection::Connection,
        partial_response::Rest,
        send_tracker::Transmission,
        streamed::is_streamed,
        target_request::{Attempt, Reuse, TargetRequest, build_request},
    },
    crate::HeaderNames,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        HeaderMap, Request, Response,
        body::{Body as _, Incoming},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::Instant,
};

/// Time allowed for opening a connection to a target or a VM that relays to it. Without this limit,
/// connecting to one that has lost power would wait until the deadline.
pub(crate) const TARGET_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle connections are closed this long before the target may close them.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);
/// Idle timeout for targets that state none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// The head of a response, whose body follows on its connection.
struct Started {
    response: Response<Incoming>,
    connection: Connection,
    transmission: Transmission,
}

impl Client {
    /// Sends a request to a target, and returns how it ended, or a response whose body states no length.
    pub(crate) async fn send_to_target(
        self: &Rc<Self>,
        header_names: &HeaderNames,
        request: &TargetRequest,
        attempt: &Attempt<'_>,
    ) -> Reply {
        let http_request = build_request(header_names, request, attempt);
        let result = self.exchange(header_names, request, http_request, attempt);
        result.await.unwrap_or_else(Reply::Ended)
    }

    /// Sends a request and receives the response. The body of one that cannot be used is not read,
    /// as it may have no end; its connection is closed.
    async fn exchange(
        self: &Rc<Self>,
        header_names: &HeaderNames,
        request: &TargetRequest,
        http_request: Request<Full<Bytes>>,
        attempt: &Attempt<'_>,
    ) -> Result<Reply, Outcome> {
        let mut started = self.send(http_request, attempt).await?;
        let response = &started.response;
        let connection = &started.connection;
        let has_id = response.headers().contains_key(&header_names.request_id);
        let mut head = check_head(header_names, request, response.status(), response.headers());
        // Without the identifier the response may be a late one to an earlier request, whose word
        // that it has not run says nothing of this one.
        if connection.is_reused && attempt.reuse == Reuse::Recent && !has_id {
            head = Err(Outcome::Indeterminate(ResponseFault::RequestIdMismatch));
        }
        if connection.is_reused && matches!(head, Err(Outcome::Indeterminate(_))) {
            self.record_break(attempt.address);
        }
        if matches!(head, Err(Outcome::NotExecuted { .. })) {
            started.transmission.record_not_run();
        }
        head?;
        let mut raw = self.receive_body(started, attempt).await?;
        let connection = raw.connection.take();
        let reply = classify_response(header_names, request, raw);
        if let (Reply::Ended(Outcome::Answered(response)), Some(connection)) = (&reply, connection)
        {
            self.check_in_for(attempt, &response.headers)
                .check_in_when_ready(connection);
        }
        Ok(reply)
    }

    /// Sends a request and returns the unchecked response.
    pub(super) async fn send_and_receive(
        self: &Rc<Self>,
        request: Request<Full<Bytes>>,
        attempt: &Attempt<'_>,
    ) -> Result<RawResponse, Outcome> {
        let started = self.send(request, attempt).await?;
        self.receive_body(started, attempt).await
    }

    /// Sends a request and returns the head of the response, with the connection on which its body
    /// follows.
    async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        attempt: &Attempt<'_>,
    ) -> Result<Started, Outcome> {
        let mut idle = self.check_out_for(attempt).await;
        loop {
            let is_reused = idle.is_some();
            let mut connection = match idle.take() {
                Some(mut connection) => {
                    connection.is_reused = true;
                    connection
                }
                None => match self.open_connection(attempt).await {
                    Some(connection) => connection,
                    None => return Err(Outcome::unreachable()),
                },
            };
            let mut transmission = attempt.tracker.begin(attempt.receiver);
            let response = connection.sender.try_send_request(request);
            let response = match tokio::time::timeout_at(attempt.deadline, response).await {
                Err(_) => {
                    if is_reused {
                        self.record_break(attempt.address);
                    }
                    return Err(Outcome::TimedOut);
                }
                Ok(Err(mut failed)) => match failed.take_message() {
                    // The target closed the idle connection: retry on a new one.
                    Some(unsent) if is_reused => {
                        transmission.record_not_run();
                        request = unsent;
                        continue;
                    }
                    Some(_) => {
                        transmission.record_not_run();
                        return Err(Outcome::NotExecuted {
                            reason: NotExecutedReason::Unsent,
                            feedback: None,
                        });
                    }
                    None => {
                        if is_reused {
                            self.record_break(attempt.address);
                        }
                        let fault = if failed.error().is_parse() {
                            ResponseFault::Malformed
                        } else {
                            ResponseFault::ConnectionLost
                        };
                        return Err(Outcome::Indeterminate(fault));
                    }
                },
                Ok(Ok(response)) => response,
            };
            return Ok(Started {
                response,
                connection,
                transmission,
            });
        }
    }

    /// Reads the body of a response, or leaves it to be streamed if it is long. One that states no
    /// length is left as it is, as it may have no end.
    async fn receive_body(
        self: &Rc<Self>,
        started: Started,
        attempt: &Attempt<'_>,
    ) -> Result<RawResponse, Outcome> {
        let Started {
            response,
            connection,
            transmission,
        } = started;
        let (parts, incoming) = response.into_parts();
        if is_streamed(&incoming) {
            let check_in = self.check_in_for(attempt, &parts.headers);
            let deadline = attempt.deadline;
            let body =
                ResponseBody::streamed(incoming, connection, check_in, &self.memory, deadline);
            let mut body = body.map_err(|_| Outcome::Indeterminate(ResponseFault::TooLarge))?;
            body.set_deadline(deadline);
            return Ok(RawResponse {
                status: parts.status,
                headers: parts.headers,
                body: RawBody::Ready(body),
                connection: None,
                transmission,
            });
        }
        let has_length = incoming.size_hint().exact().is_some();
        let mut buffered = Buffered::new(incoming, &self.memory);
        let (body, connection) = if has_length {
            let read = tokio::time::timeout_at(attempt.deadline, buffered.read_to_end());
            match read.await {
                Err(_) => return Err(Outcome::TimedOut),
                Ok(Err(fault)) => return Err(Outcome::Indeterminate(fault)),
                Ok(Ok(())) => {}
            }
            let mut body = buffered.into_body();
            body.set_deadline(attempt.deadline);
            (RawBody::Ready(body), Some(connection))
        } else {
            let rest = Rest {
                body: buffered,
                connection,
                check_in: self.check_in_for(attempt, &parts.headers),
                deadline: attempt.deadline,
            };
            (RawBody::Partial(Box::new(rest)), None)
        };
        Ok(RawResponse {
            status: parts.status,
            headers: parts.headers,
            body,
            connection,
            transmission,
        })
    }

    /// Returns how the connection of an attempt goes back to the pool after its response.
    pub(super) fn check_in_for(
        self: &Rc<Self>,
        attempt: &Attempt<'_>,
        headers: &HeaderMap,
    ) -> CheckIn {
        let stated_timeout = parse_idle_timeout(headers);
        CheckIn {
            client: self.clone(),
            address: attempt.address,
            is_single_use: attempt.reuse == Reuse::Never,
            idle_timeout: idle_timeout(stated_timeout),
            stated_timeout,
        }
    }

    /// Returns an idle connection on which the request may be sent, if there is one.
    async fn check_out_for(&self, attempt: &Attempt<'_>) -> Option<Connection> {
        match attempt.reuse {
            Reuse::Any => self.check_out(attempt.address),
            Reuse::Never => None,
            Reuse::Recent => {
                let connection = self.check_out_for_single_run(attempt.address);
                let kind = if connection.is_some() { "kept" } else { "new" };
                metrics::counter!("cicadalift_single_runs_total", "connection" => kind)
                    .increment(1);
                // So that the end of the connection is seen if it has arrived by now.
                tokio::task::yield_now().await;
                connection.filter(Connection::is_usable)
            }
        }
    }

    async fn open_connection(&self, attempt: &Attempt<'_>) -> Option<Connection> {
        let start = Instant::now();
        let connect_deadline = attempt.deadline.min(start + attempt.connect_timeout);
        let opened =
            tokio::time::timeout_at(connect_deadline, Connection::open(attempt.address)).await;
        let connection = opened.ok()?.ok()?;
        self.record_round_trip(attempt.address, start.elapsed());
        Some(connection)
    }
}

/// Returns the idle timeout that the `Keep-Alive` header states.
fn parse_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let timeout_s = value.and_then(|value| {
        let mut parameters = value.split(',').map(str::trim);
        parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.parse().ok())
    });
    timeout_s.map(Duration::from_secs)
}

/// Returns for how long an idle connection is kept: the stated timeout less the margin, or the
/// default.
fn idle_timeout(stated: Option<Duration>) -> Duration {
    stated.map_or(DEFAULT_IDLE_TIMEOUT, |stated| {
        stated.saturating_sub(IDLE_TIMEOUT_MARGIN)
    })
}
