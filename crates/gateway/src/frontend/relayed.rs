//! Serves requests that other VMs relay for targets whose queues this VM owns.

use {
    super::{
        attempt::send_directly,
        body,
        departure::{self, run_request},
        exchange::Exchange,
        head::RequestHead,
        identity::identify_relayed,
        in_flight,
        response::{HttpResponse, text_response},
        retry::{Denial, into_caller_response, wait_for_target},
        serve::{before_end, build_target_request, compute_fingerprint},
    },
    crate::{
        Node,
        http_client::{
            Outcome, SendTracker, TargetRequest,
            relay::{
                COPY_HEADER, CUSTOMER_HEADER, CUT_OFF_HEADER, DIVERTED_HEADER, Diversion,
                ELSEWHERE, ELSEWHERE_HEADER, ENDS_IN_MS_HEADER, FIRST_CHOICE_HEADER, FULL,
                LEAVING_HEADER, LIMIT_AGE_MS_HEADER, MAY_LOAD_HEADER, NOT_SERVED, OUTCOME_HEADER,
                RELAYED_BY_HEADER, RETRY_AFTER_MS_HEADER, RUNNING_TIME_MS_HEADER,
                STARTED_AT_MS_HEADER, TARGET_HEADER, WAITED_MS_HEADER,
            },
        },
        node::{Assignment, Divertible, RequestContext, Reservation, Selection, duration_ms},
    },
    balance::{Feedback, LoadReport, Slowdown, hedge, second_home::Advice},
    customer::Identity,
    hyper::{
        HeaderMap, Request, StatusCode,
        body::Incoming,
        header::{HeaderName, HeaderValue},
        http::request,
    },
    std::{rc::Rc, sync::Arc, time::Duration},
};

/// Returns whether another VM relayed the request.
pub(crate) fn is_relayed(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(&TARGET_HEADER)
}

/// Serves a relayed request. It counts as in flight until its response is written.
///
/// The [`OUTCOME_HEADER`] of the response states how the exchange with the target ended.
pub(crate) async fn serve_relayed_request(
    node: Rc<Node>,
    request: Request<Incoming>,
) -> HttpResponse {
    in_flight::track(node, |node, guard| respond(node, request, guard)).await
}

/// Queues a relayed request, sends it to its target and returns the response.
async fn respond(
    node: Rc<Node>,
    request: Request<Incoming>,
    in_flight: Rc<in_flight::Guard>,
) -> HttpResponse {
    let (mut parts, body) = request.into_parts();
    let target = parts.headers.get(TARGET_HEADER).cloned();
    let is_cut_off = node.is_cut_off();
    let parsed = if is_cut_off {
        None
    } else {
        parse_request(&node, &mut parts)
    };
    let Some(relayed) = parsed else {
        let reason = if is_cut_off { "cut off" } else { "unserved" };
        log::info!(event = "handed_back", reason = reason, version = node.route_table().version(); "relayed request not accepted: this VM does not serve its target, or reaches none");
        let mut response = not_served_response("not served here");
        if is_cut_off {
            let headers = response.headers_mut();
            headers.insert(CUT_OFF_HEADER, HeaderValue::from_static("1"));
        }
        if let Some(target) = target.as_ref().and_then(|target| target.to_str().ok()) {
            state_target(&node, target, response.headers_mut());
        }
        return response;
    };
    let RelayedRequest {
        context,
        head,
        identity,
    } = relayed;
    let max_bytes = node.route_table().limits().max_body_bytes;
    let body = body::read(&node, body, max_bytes, context.deadline);
    let Some(body) = before_end(&node, body).await else {
        return leaving_response(&context);
    };
    let Ok(body) = body else {
        return not_served_response("body not read");
    };
    node.record_arrival(&context);
    let fingerprint = compute_fingerprint(&context, &parts, &body);
    let target_request = build_target_request(&node, &head, &identity, parts, &body);
    let guard = departure::Guard::new(&node, &context);
    // Boxed, as the future is large and is moved.
    let run = Box::pin(async move {
        let response = send_to_target(&node, &context, &target_request, &fingerprint).await;
        drop(body);
        response
    });
    run_request(guard, in_flight, run).await
}

fn not_served_response(reason: &'static str) -> HttpResponse {
    with_outcome(
        text_response(StatusCode::SERVICE_UNAVAILABLE, reason),
        NOT_SERVED,
    )
}

/// A relayed request that this VM serves.
struct RelayedRequest {
    context: RequestContext,
    head: RequestHead,
    identity: Identity,
}

/// Removes the relay headers and builds the request context, if this VM serves the target and knows
/// the customer.
fn parse_request(node: &Rc<Node>, parts: &mut request::Parts) -> Option<RelayedRequest> {
    let target = parts.headers.remove(TARGET_HEADER)?;
    let target = target.to_str().ok()?.to_owned();
    let is_first_choice = parts
        .headers
        .remove(FIRST_CHOICE_HEADER)
        .is_some_and(|value| value == "1");
    let is_copy = parts.headers.remove(COPY_HEADER).is_some();
    let diversion = parse_diversion(&mut parts.headers);
    let relayed_by = parts.headers.remove(RELAYED_BY_HEADER);
    let relayed_by = relayed_by.and_then(|name| name.to_str().ok().map(str::to_owned));
    let waited_ms = remove_number(&mut parts.headers, &WAITED_MS_HEADER);
    let ends_in_ms = remove_number(&mut parts.headers, &ENDS_IN_MS_HEADER);
    let customer_name = parts.headers.remove(CUSTOMER_HEADER);
    let customer_name = customer_name.as_ref().and_then(|name| name.to_str().ok());
    let head = RequestHead::parse(&node.header_names, parts).ok()?;
    let table = node.route_table();
    let route = table.find_route(&head.host, parts.uri.path()).ok()?.clone();
    let identity = identify_relayed(node, &route, customer_name)?;
    let catalog = node.catalog.borrow();
    if node.leaving_since().is_some() || !catalog.is_usable(&target) {
        return None;
    }
    let service = catalog.get(&target)?.service.clone();
    let arrived_at = node.now();
    let prior_wait = Duration::from_millis(waited_ms.unwrap_or(0));
    let is_late = prior_wait >= route.objective;
    let deadline = arrived_at + head.timeout?;
    let mut context = RequestContext {
        queue_key: node.next_queue_key(&route, identity.customer().map(Arc::as_ref), is_late),
        prior_wait,
        id: head.request_id.to_str().unwrap_or_default().to_owned(),
        service,
        object: head.object.clone().filter(|_| route.uses_affinity),
        deadline,
        caller_deadline: deadline,
        route,
        customer: identity.customer().cloned(),
        arrived_at,
        share: None,
        _token: None,
        tracker: SendTracker::default(),
        tried_targets: Vec::new(),
        divertible: Divertible::Closed,
        assignment: Some(Assignment {
            target,
            is_first_choice,
            is_copy,
            diversion,
            relayed_by,
            relayer_ends_at: ends_in_ms.map(|ms| arrived_at + Duration::from_millis(ms)),
        }),
    };
    context.enter_shares(node);
    Some(RelayedRequest {
        context,
        head,
        identity,
    })
}

fn remove_number(headers: &mut HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.remove(name)?.to_str().ok()?.parse().ok()
}

/// Removes what the relaying VM states of other targets.
fn parse_diversion(headers: &mut HeaderMap) -> Diversion {
    let way_ms = remove_number(headers, &ELSEWHERE_HEADER);
    let diverted = headers.remove(DIVERTED_HEADER);
    if let Some(may_load) = diverted {
        let may_load = may_load == "1";
        return Diversion::Diverted { may_load };
    }
    way_ms.map_or(Diversion::None, |way_ms| Diversion::Possible {
        way: Duration::from_millis(way_ms),
    })
}

/// Returns the response that hands a request back to run at another target, if it is to.
fn divert(node: &Node, context: &RequestContext) -> Option<HttpResponse> {
    let assignment = context.assignment.as_ref()?;
    let target = assignment.target.as_str();
    let may_load = match assignment.diversion {
        Diversion::None => return None,
        Diversion::Possible { way } => {
            let (requests_ahead, _) = node.load_of(target);
            match node.advise(context, target, way, requests_ahead) {
                Advice::Stay => return None,
                Advice::Elsewhere { may_load } => may_load,
            }
        }
        Diversion::Diverted { may_load } => {
            if node.accepts_diverted(context, target, may_load, assignment.is_copy) {
                return None;
            }
            false
        }
    };
    let mut response = with_outcome(
        text_response(StatusCode::SERVICE_UNAVAILABLE, "elsewhere"),
        ELSEWHERE,
    );
    set_number(
        response.headers_mut(),
        &MAY_LOAD_HEADER,
        u64::from(may_load),
    );
    Some(response)
}

/// Reserves the assigned target. A copy is handed back unless the target has room for it now.
///
/// # Errors
/// Returns why the target is not to be had.
async fn reserve_target(node: &Rc<Node>, context: &RequestContext) -> Result<Reservation, Denial> {
    let assignment = context.assignment.as_ref();
    if assignment.is_none_or(|assignment| !assignment.is_copy) {
        return wait_for_target(node, context).await;
    }
    match node.select_target(context) {
        Selection::Send(reservation) if hedge::has_room_for_copy(&reservation.dispatch) => {
            Ok(*reservation)
        }
        _ => Err(Denial::Full(context.route.objective)),
    }
}

async fn send_to_target(
    node: &Rc<Node>,
    context: &RequestContext,
    request: &TargetRequest,
    fingerprint: &str,
) -> HttpResponse {
    if let Some(response) = divert(node, context) {
        return response;
    }
    let reservation = match reserve_target(node, context).await {
        Ok(reservation) => Rc::new(reservation),
        Err(_) if is_ejected(node, context) => return outcome_response(Outcome::unreachable()),
        Err(Denial::Leaving) if node.leaving_since().is_some() => return leaving_response(context),
        Err(denial) => {
            let retry_after = match denial {
                Denial::Full(retry_after) => retry_after,
                // The VM that relayed it leaves, and has no time for another wait.
                Denial::Leaving => context.route.objective,
            };
            let target = context
                .assignment
                .as_ref()
                .map_or("", |assignment| &assignment.target);
            let ahead = node
                .balancer
                .borrow()
                .outstanding_requests(target, node.now());
            log::info!(event = "handed_back", request = context.id.as_str(), reason = "full", target = target, ahead = ahead, after_ms = duration_ms(retry_after); "relayed request not accepted: its target has no room in time");
            let mut response = with_outcome(
                text_response(StatusCode::SERVICE_UNAVAILABLE, "no room"),
                FULL,
            );
            set_number(
                response.headers_mut(),
                &RETRY_AFTER_MS_HEADER,
                duration_ms(retry_after),
            );
            state_target(node, target, response.headers_mut());
            return response;
        }
    };
    let exchange = send_directly(node, context, request, &reservation, fingerprint).await;
    let dispatch = reservation.dispatch.clone();
    // Dropped first, so that the load report no longer counts this request, unless it still runs.
    drop(reservation);
    let (outcome, running_time) = match exchange {
        Exchange::Ended(outcome) => (outcome, Some(node.now().saturating_sub(dispatch.sent_at))),
        Exchange::Open(exchange) => (exchange.pass_on(node, context, fingerprint).await, None),
    };
    let feedback = Feedback {
        load: load_report(node, &dispatch.target),
        slowdown: machine_slowdown(node, &dispatch.target),
        ..outcome.rejection_feedback().unwrap_or_default()
    };
    let mut response = outcome_response(outcome);
    (node.header_names.feedback.encode)(&feedback, response.headers_mut());
    if let Some(running_time) = running_time {
        set_number(
            response.headers_mut(),
            &RUNNING_TIME_MS_HEADER,
            duration_ms(running_time),
        );
    }
    response
}

/// Returns the response that hands a request back because this VM ends before it could be answered.
fn leaving_response(context: &RequestContext) -> HttpResponse {
    log::info!(event = "handed_back", request = context.id.as_str(), reason = "leaving"; "relayed request not accepted: this VM ends before it could be answered");
    let mut response = not_served_response("leaving");
    let headers = response.headers_mut();
    headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
    response
}

/// Adds to a refusal what this VM knows of the target, of which process of it, and since when.
fn state_target(node: &Node, target: &str, headers: &mut HeaderMap) {
    let feedback = node.feedback(target);
    (node.header_names.feedback.encode)(&feedback, headers);
    let started_at_ms = node.catalog.borrow().get(target).map(|t| t.started_at_ms);
    if let Some(started_at_ms) = started_at_ms {
        set_number(headers, &STARTED_AT_MS_HEADER, started_at_ms);
    }
    if let Some(age) = node.limit_age(target) {
        set_number(headers, &LIMIT_AGE_MS_HEADER, duration_ms(age));
    }
}

fn is_ejected(node: &Node, context: &RequestContext) -> bool {
    let balancer = node.balancer.borrow();
    let assignment = context.assignment.as_ref();
    assignment.is_some_and(|assignment| balancer.is_ejected(&assignment.target, node.now()))
}

/// Converts an outcome to the response that the relaying VM parses.
fn outcome_response(outcome: Outcome) -> HttpResponse {
    let outcome_text = outcome.as_str();
    let response = match outcome {
        Outcome::Answered(response) => into_caller_response(*response),
        Outcome::NotExecuted { .. } => text_response(StatusCode::SERVICE_UNAVAILABLE, "not run"),
        Outcome::Indeterminate(_) => text_response(StatusCode::BAD_GATEWAY, "no whole answer"),
        Outcome::TimedOut => text_response(StatusCode::GATEWAY_TIMEOUT, "time is up"),
    };
    with_outcome(response, outcome_text)
}

/// Returns the load of a target with the requests that are queued for it at this VM, or `None` for
/// an unknown target.
fn load_report(node: &Node, target: &str) -> Option<LoadReport> {
    let catalog = node.catalog.borrow();
    let target = catalog.get(target)?;
    let balancer = node.balancer.borrow();
    Some(balancer.load_report(&target.id, target.slots, node.now()))
}

/// Returns how slow the machine of a target was when it was last stated here.
fn machine_slowdown(node: &Node, target: &str) -> Option<Slowdown> {
    let balancer = node.balancer.borrow();
    balancer.machine_slowdown(target, node.now())
}

fn with_outcome(mut response: HttpResponse, outcome: &'static str) -> HttpResponse {
    let outcome = HeaderValue::from_static(outcome);
    response.headers_mut().insert(OUTCOME_HEADER, outcome);
    response
}

fn set_number(headers: &mut HeaderMap, name: &HeaderName, number: u64) {
    headers.insert(name, HeaderValue::from(number));
}
