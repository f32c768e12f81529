//! Serves a caller's request, from parsing its head to the response.

use {
    super::{
        body::{self, BodyError, BufferedBody},
        departure::{self, run_request},
        head::{HeadError, RequestHead, remove_hop_by_hop_headers},
        identity::{identify_caller, set_customer},
        in_flight,
        progress::LEAVING_RETRY_AFTER,
        quota,
        response::{HttpResponse, text_response, unavailable_response},
        retry,
    },
    crate::{
        Node,
        http_client::{SendTracker, TargetRequest, has_memory_for_stream},
        memory::OutOfMemory,
        node::{Divertible, RequestContext, duration_ms},
    },
    customer::Identity,
    hyper::{Request, StatusCode, body::Incoming, http::request},
    route::{Kind, LookupError, Route, RouteTable},
    std::{rc::Rc, sync::Arc, time::Duration},
    xxhash_rust::xxh3::Xxh3,
};

/// `Retry-After` of a VM that has no routes or targets yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// A VM that is shutting down accepts requests for this long, so that callers find other VMs.
const ACCEPT_WHILE_LEAVING: Duration = Duration::from_millis(2900);
/// `Retry-After` of a route that cannot be served before the operator changes it.
const UNUSABLE_ROUTE_RETRY_AFTER: Duration = Duration::from_secs(5);
const OUT_OF_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves one request of a caller. It counts as in flight until its response is written.
pub(crate) async fn serve_caller_request(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> HttpResponse {
    in_flight::track(node, |node, guard| respond(node, request, guard)).await
}

async fn respond(
    node: Rc<Node>,
    request: Request<Incoming>,
    in_flight: Rc<in_flight::Guard>,
) -> HttpResponse {
    let arrived_at = node.now();
    let (parts, body) = request.into_parts();
    let admitted = match admit_request(&node, &parts) {
        Ok(admitted) => admitted,
        Err(response) => return *response,
    };
    let Admitted {
        head,
        route,
        identity,
    } = admitted;
    let tracker = SendTracker::default();
    let token = match identity.customer() {
        Some(customer) => {
            let admission = quota::admit(&node, customer, &head, &tracker);
            match before_end(&node, admission).await {
                Some(Ok(token)) => token,
                Some(Err(response)) => return *response,
                None => return leaving_response(&head),
            }
        }
        None => None,
    };
    if route.kind == Kind::Download && !has_memory_for_stream(&node.client.memory) {
        return body_error_response(&head, OutOfMemory.into());
    }
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived_at + timeout;
    let max_bytes = node.route_table().limits().max_body_bytes;
    let body = match before_end(&node, body::read(&node, body, max_bytes, deadline)).await {
        Some(Ok(body)) => body,
        Some(Err(error)) => return body_error_response(&head, error),
        None => return leaving_response(&head),
    };
    let service = node.select_service(&route);
    let caller_timeout = head.timeout.unwrap_or(route.timeout);
    let caller_wait = node.balancer.borrow_mut().estimate_caller_wait(
        &route.name,
        route.objective,
        caller_timeout,
    );
    let (prior_wait, is_late) = caller_wait;
    let mut context = RequestContext {
        queue_key: node.next_queue_key(&route, identity.customer().map(Arc::as_ref), is_late),
        prior_wait,
        id: head.request_id.to_str().unwrap_or_default().to_owned(),
        service,
        object: head.object.clone().filter(|_| route.uses_affinity),
        route,
        customer: identity.customer().cloned(),
        arrived_at,
        deadline,
        caller_deadline: arrived_at.saturating_add(caller_timeout),
        share: None,
        _token: token.map(Rc::new),
        tracker,
        tried_targets: Vec::new(),
        divertible: Divertible::Open,
        assignment: None,
    };
    context.enter_shares(&node);
    node.record_arrival(&context);
    let fingerprint = compute_fingerprint(&context, &parts, &body);
    let target_request = build_target_request(&node, &head, &identity, parts, &body);
    let guard = departure::Guard::new(&node, &context);
    // Boxed, as the future is large and is moved.
    let run = Box::pin(async move {
        let response =
            retry::send_with_retries(&node, context, &target_request, &fingerprint).await;
        drop(body);
        response
    });
    run_request(guard, in_flight, run).await
}

/// Awaits a step before a request is sent. Returns `None` if this VM has to end before that.
pub(super) async fn before_end<T>(node: &Node, step: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        result = step => Some(result),
        () = node.end_of_answers() => None,
    }
}

/// A request that may be served.
struct Admitted {
    head: RequestHead,
    route: Arc<Route>,
    /// Whom it comes from.
    identity: Identity,
}

/// Parses the head and finds the route and the customer, or returns the response that refuses the
/// request.
fn admit_request(node: &Rc<Node>, parts: &request::Parts) -> Result<Admitted, Box<HttpResponse>> {
    let head = RequestHead::parse(&node.header_names, parts).map_err(|error| {
        log::info!(event = "request_refused", status = 400, reason:% = error; "request refused: malformed head");
        Box::new(malformed_head_response(error))
    })?;
    let id = head.request_id.to_str().unwrap_or_default();
    if !node.has_routes_and_targets() {
        let version = node.route_table().version();
        let targets = node.catalog.borrow().len();
        log::info!(event = "request_refused", request = id, status = 503, reason = "uninformed", version = version, targets = targets, uptime_ms = duration_ms(node.now()); "request refused: no routes or targets known yet");
        return Err(Box::new(unavailable_response(
            "no routes yet",
            NOT_READY_RETRY_AFTER,
        )));
    }
    let leaving = node.leaving_since();
    if leaving.is_some_and(|since| node.now().saturating_sub(since) > ACCEPT_WHILE_LEAVING) {
        return Err(Box::new(leaving_response(&head)));
    }
    let table = node.route_table();
    let route = table
        .find_route(&head.host, parts.uri.path())
        .map_err(|error| Box::new(no_route_response(node, &head, &table, error)))?;
    let identity = identify_caller(node, route, &parts.headers, id)?;
    Ok(Admitted {
        route: route.clone(),
        head,
        identity,
    })
}

/// Returns the response to a request for which this VM has no time before it ends.
fn leaving_response(head: &RequestHead) -> HttpResponse {
    let id = head.request_id.to_str().unwrap_or_default();
    log::info!(event = "request_refused", request = id, status = 503, reason = "leaving"; "request refused: this VM is shutting down");
    unavailable_response("stopping", LEAVING_RETRY_AFTER)
}

fn no_route_response(
    node: &Node,
    head: &RequestHead,
    table: &RouteTable,
    error: LookupError,
) -> HttpResponse {
    let id = head.request_id.to_str().unwrap_or_default();
    let host = head.host.as_str();
    let version = table.version();
    let row = node.replica().newest_revision();
    let heard_ms_ago = node.time_since_store_contact();
    let heard_ms_ago =
        heard_ms_ago.map_or_else(|| "never".to_owned(), |time| duration_ms(time).to_string());
    match error {
        LookupError::NoMatch => {
            log::info!(event = "request_refused", request = id, status = 404, reason = "no route", host = host, version = version, row:% = row, heard_ms_ago = heard_ms_ago.as_str(); "request refused: no route matches its host and path");
            text_response(StatusCode::NOT_FOUND, "no route")
        }
        LookupError::Unusable => {
            log::info!(event = "request_refused", request = id, status = 503, reason = "unusable route", host = host, version = version; "request refused: its route could not be understood");
            unavailable_response("unusable route", UNUSABLE_ROUTE_RETRY_AFTER)
        }
    }
}

fn malformed_head_response(error: HeadError) -> HttpResponse {
    let reason = match error {
        HeadError::Host => "host is missing or repeated",
        HeadError::RequestId => "request identifier is missing or repeated",
        HeadError::Deadline => "deadline is not a number of milliseconds",
    };
    text_response(StatusCode::BAD_REQUEST, reason)
}

fn body_error_response(head: &RequestHead, error: BodyError) -> HttpResponse {
    let id = head.request_id.to_str().unwrap_or_default();
    log::info!(event = "request_refused", request = id, reason:% = error; "request refused: its body, or that of its response, could not be taken");
    match error {
        BodyError::TooLarge => text_response(StatusCode::PAYLOAD_TOO_LARGE, "body too large"),
        BodyError::TimedOut => text_response(StatusCode::REQUEST_TIMEOUT, "body too late"),
        BodyError::Incomplete => text_response(StatusCode::BAD_REQUEST, "body ended early"),
        BodyError::OutOfMemory(_) => {
            unavailable_response("no memory for bodies", OUT_OF_MEMORY_RETRY_AFTER)
        }
    }
}

/// Builds the request for targets, without hop-by-hop headers and with the name of its customer.
pub(super) fn build_target_request(
    node: &Node,
    head: &RequestHead,
    identity: &Identity,
    parts: request::Parts,
    body: &BufferedBody,
) -> TargetRequest {
    let mut headers = parts.headers;
    remove_hop_by_hop_headers(&mut headers);
    set_customer(&node.header_names, &mut headers, identity);
    TargetRequest {
        method: parts.method,
        uri: parts.uri,
        headers,
        body: body.bytes.clone(),
        request_id: head.request_id.clone(),
    }
}

/// Returns a hash of the request's content and customer without its identifier, so that a request that
/// crashes targets is recognized when its caller sends it again.
pub(super) fn compute_fingerprint(
    context: &RequestContext,
    parts: &request::Parts,
    body: &BufferedBody,
) -> String {
    let mut hash = Xxh3::new();
    hash.update(context.route.name.as_bytes());
    hash.update(parts.method.as_str().as_bytes());
    hash.update(parts.uri.to_string().as_bytes());
    hash.update(&body.bytes);
    // Without a customer as before, so that VMs of earlier builds count the same requests.
    hash.update(context.customer_name().as_bytes());
    format!("{:016x}", hash.digest())
}
