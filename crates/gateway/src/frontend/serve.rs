//! A request from its head to its answer.

use {
    super::{
        answer::{HttpResponse, refusal, text_response},
        body::{self, BodyError, Content},
        parse::{Head, ParseError, strip},
        transit,
    },
    crate::{Node, exchange::Outgoing, node::RequestContext},
    hyper::{Request, StatusCode, body::Incoming, http::request},
    route::Route,
    std::{rc::Rc, sync::Arc, time::Duration},
    xxhash_rust::xxh3::Xxh3,
};

/// A VM without routes asks callers to come back after this time.
const UNINFORMED_RETRY: Duration = Duration::from_millis(500);
/// A VM that stops takes no new work after this time.
const LEAVING_WORK: Duration = Duration::from_millis(2900);
const LEAVING_RETRY: Duration = Duration::from_millis(50);
const MEMORY_RETRY: Duration = Duration::from_secs(1);

/// Counts requests that are being served.
pub(super) struct Busy(Rc<Node>);

impl Busy {
    pub(super) fn new(node: &Rc<Node>) -> Self {
        node.in_flight.set(node.in_flight.get() + 1);
        Self(node.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// Serves one request of a caller.
pub(crate) async fn serve(node: Rc<Node>, request: Request<Incoming>) -> HttpResponse {
    let busy = Busy::new(&node);
    let arrived = node.now();
    let (parts, body) = request.into_parts();
    let (head, route) = match admit(&node, &parts) {
        Ok(admitted) => admitted,
        Err(answer) => return *answer,
    };
    let longest = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + longest;
    let most = node.route_table().limits().max_body_bytes;
    let content = match body::read(&node, body, most, deadline).await {
        Ok(content) => content,
        Err(error) => return body_failed(&head, error),
    };
    let service = node.select_service(&route);
    let granted = head.deadline.unwrap_or(route.timeout);
    let asked =
        node.balancer
            .borrow_mut()
            .estimate_caller_wait(&route.name, route.objective, granted);
    let (asked_before, late) = asked;
    let work = RequestContext {
        queue_key: node.next_queue_key(&route, late),
        prior_wait: asked_before,
        id: head.id.to_str().unwrap_or_default().to_owned(),
        service,
        object: head.object.clone().filter(|_| route.uses_affinity),
        route,
        arrived_at: arrived,
        deadline,
        tried_targets: Vec::new(),
        assignment: None,
    };
    node.record_arrival(&work);
    let fingerprint = fingerprint(&work, &parts, &content);
    let outgoing = outgoing(&head, parts, &content);
    conduct(work.is_idempotent(), async move {
        let answer = transit::run(&node, work, &outgoing, &fingerprint).await;
        drop((busy, content));
        answer
    })
    .await
}

/// Runs work that may be repeated as long as who asked for it is there, and sees other work
/// through.
pub(super) async fn conduct(
    is_idempotent: bool,
    work: impl Future<Output = HttpResponse> + 'static,
) -> HttpResponse {
    if is_idempotent {
        return work.await;
    }
    let running = tokio::task::spawn_local(work);
    running.await.unwrap_or_else(|error| {
        log::error!(event = "task_failed", reason:% = error; "request ended without an answer");
        text_response(StatusCode::INTERNAL_SERVER_ERROR, "internal error")
    })
}

/// Decides what needs no body: whether the request can be read and has a route.
fn admit(node: &Rc<Node>, parts: &request::Parts) -> Result<(Head, Arc<Route>), Box<HttpResponse>> {
    let head = Head::read(&node.header_names, parts).map_err(|error| {
        log::info!(event = "request_refused", status = 400, reason:% = error; "request cannot be read");
        Box::new(malformed(error))
    })?;
    let id = head.id.to_str().unwrap_or_default();
    if !node.has_routes_and_targets() {
        log::info!(event = "request_refused", request = id, status = 503, reason = "uninformed"; "no routes or targets yet");
        return Err(Box::new(refusal("no routes yet", UNINFORMED_RETRY)));
    }
    let leaving = node.leaving_since();
    if leaving.is_some_and(|since| node.now().saturating_sub(since) > LEAVING_WORK) {
        log::info!(event = "request_refused", request = id, status = 503, reason = "leaving"; "this VM stops");
        return Err(Box::new(refusal("stopping", LEAVING_RETRY)));
    }
    let table = node.route_table();
    let Some(route) = table.find_route(&head.host, parts.uri.path()) else {
        log::info!(event = "request_refused", request = id, status = 404, reason = "no route", host = head.host.as_str(), version = table.version(); "no route");
        return Err(Box::new(text_response(StatusCode::NOT_FOUND, "no route")));
    };
    Ok((head, route.clone()))
}

fn malformed(error: ParseError) -> HttpResponse {
    let reason = match error {
        ParseError::Host => "host is missing or repeated",
        ParseError::Id => "request identifier is missing or repeated",
        ParseError::Deadline => "deadline is not a number of milliseconds",
    };
    text_response(StatusCode::BAD_REQUEST, reason)
}

fn body_failed(head: &Head, error: BodyError) -> HttpResponse {
    let id = head.id.to_str().unwrap_or_default();
    log::info!(event = "request_refused", request = id, reason:% = error; "body not read");
    match error {
        BodyError::TooLong => text_response(StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
        BodyError::TimedOut => text_response(StatusCode::REQUEST_TIMEOUT, "body too late"),
        BodyError::Broken => text_response(StatusCode::BAD_REQUEST, "body ended early"),
        BodyError::NoMemory => refusal("no memory for bodies", MEMORY_RETRY),
    }
}

pub(super) fn outgoing(head: &Head, parts: request::Parts, content: &Content) -> Outgoing {
    let mut headers = parts.headers;
    strip(&mut headers);
    Outgoing {
        method: parts.method,
        uri: parts.uri,
        headers,
        body: content.bytes.clone(),
        id: head.id.clone(),
    }
}

/// Hash by which a request that crashes targets is known again under another identifier.
pub(super) fn fingerprint(
    work: &RequestContext,
    parts: &request::Parts,
    content: &Content,
) -> String {
    let mut hash = Xxh3::new();
    hash.update(work.route.name.as_bytes());
    hash.update(parts.method.as_str().as_bytes());
    hash.update(parts.uri.to_string().as_bytes());
    hash.update(&content.bytes);
    format!("{:016x}", hash.digest())
}
