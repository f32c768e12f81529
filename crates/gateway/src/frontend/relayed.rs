//! Serves requests that other VMs hand over for targets whose queues this VM keeps.

use {
    super::{
        answer::{HttpResponse, text_response},
        body,
        parse::Head,
        pass::direct,
        serve::{Busy, conduct, fingerprint, outgoing},
        transit::{deliver, find},
    },
    crate::{
        Node,
        exchange::{
            Outcome, Outgoing,
            relay::{AFTER_MS, FIRST, FULL, OUTCOME, RAN_MS, TARGET, UNSERVED, WAITED_MS},
        },
        node::{Assignment, RequestContext, duration_ms},
    },
    hyper::{
        HeaderMap, Request, StatusCode,
        body::Incoming,
        header::{HeaderName, HeaderValue},
        http::request,
    },
    std::{rc::Rc, time::Duration},
};

/// Whether a request was handed over by another VM.
pub(crate) fn is_relayed(request: &Request<Incoming>) -> bool {
    request.headers().contains_key(&TARGET)
}

/// Serves a request that another VM hands over.
pub(crate) async fn relayed(node: Rc<Node>, request: Request<Incoming>) -> HttpResponse {
    let busy = Busy::new(&node);
    let (mut parts, body) = request.into_parts();
    let Some((work, head)) = read(&node, &mut parts) else {
        log::info!(event = "handed_back", reason = "unserved", version = node.route_table().version(); "target is not served here");
        return unserved("not served here");
    };
    let most = node.route_table().limits().max_body_bytes;
    let Ok(content) = body::read(&node, body, most, work.deadline).await else {
        return unserved("body not read");
    };
    node.record_arrival(&work);
    let fingerprint = fingerprint(&work, &parts, &content);
    let outgoing = outgoing(&head, parts, &content);
    conduct(work.is_idempotent(), async move {
        let answer = run(&node, &work, &outgoing, &fingerprint).await;
        drop((busy, content));
        answer
    })
    .await
}

fn unserved(reason: &'static str) -> HttpResponse {
    told(
        text_response(StatusCode::SERVICE_UNAVAILABLE, reason),
        UNSERVED,
    )
}

/// What is to be done, if this VM serves the target.
fn read(node: &Rc<Node>, parts: &mut request::Parts) -> Option<(RequestContext, Head)> {
    let target = parts.headers.remove(TARGET)?;
    let target = target.to_str().ok()?.to_owned();
    let first = parts
        .headers
        .remove(FIRST)
        .is_some_and(|first| first == "1");
    let waited = parts.headers.remove(WAITED_MS);
    let waited = waited.and_then(|w| w.to_str().ok()?.parse().ok());
    let head = Head::read(&node.header_names, parts).ok()?;
    let table = node.route_table();
    let route = table.find_route(&head.host, parts.uri.path())?.clone();
    let catalog = node.catalog.borrow();
    if node.leaving_since().is_some() || !catalog.is_usable(&target) {
        return None;
    }
    let service = catalog.get(&target)?.service.clone();
    let arrived = node.now();
    let asked_before = Duration::from_millis(waited.unwrap_or(0));
    let late = asked_before >= route.objective;
    let work = RequestContext {
        queue_key: node.next_queue_key(&route, late),
        prior_wait: asked_before,
        id: head.id.to_str().unwrap_or_default().to_owned(),
        service,
        object: head.object.clone().filter(|_| route.uses_affinity),
        deadline: arrived + head.deadline?,
        route,
        arrived_at: arrived,
        tried_targets: Vec::new(),
        assignment: Some(Assignment {
            target,
            is_first_choice: first,
        }),
    };
    Some((work, head))
}

async fn run(
    node: &Rc<Node>,
    work: &RequestContext,
    outgoing: &Outgoing,
    fingerprint: &str,
) -> HttpResponse {
    let choice = match find(node, work).await {
        Ok(choice) => choice,
        Err(_) if is_ejected(node, work) => return convey(Outcome::unreachable()),
        Err(after) => {
            let target = work.assignment.as_ref().map_or("", |only| &only.target);
            let ahead = node
                .balancer
                .borrow()
                .outstanding_requests(target, node.now());
            log::info!(event = "handed_back", request = work.id.as_str(), reason = "full", target = target, ahead = ahead, after_ms = duration_ms(after); "no room in time");
            let mut answer = told(
                text_response(StatusCode::SERVICE_UNAVAILABLE, "no room"),
                FULL,
            );
            put(answer.headers_mut(), &AFTER_MS, duration_ms(after));
            return answer;
        }
    };
    let outcome = direct(node, work, outgoing, &choice, fingerprint).await;
    let sent = choice.dispatch.clone();
    // The load that is told should not count this request any more.
    drop(choice);
    let ran = node.now().saturating_sub(sent.sent_at);
    let mut answer = convey(outcome);
    tell_load(node, &sent.target, answer.headers_mut());
    put(answer.headers_mut(), &RAN_MS, duration_ms(ran));
    answer
}

fn is_ejected(node: &Node, work: &RequestContext) -> bool {
    let board = node.balancer.borrow();
    let only = work.assignment.as_ref();
    only.is_some_and(|only| board.is_ejected(&only.target, node.now()))
}

/// The end of an exchange as the other VM reads it.
fn convey(outcome: Outcome) -> HttpResponse {
    let how = outcome.word();
    let answer = match outcome {
        Outcome::Answered(response) => deliver(*response),
        Outcome::NotRun { .. } => text_response(StatusCode::SERVICE_UNAVAILABLE, "not run"),
        Outcome::Broken(_) => text_response(StatusCode::BAD_GATEWAY, "no whole answer"),
        Outcome::TimedOut => text_response(StatusCode::GATEWAY_TIMEOUT, "time is up"),
    };
    told(answer, how)
}

/// States the requests that wait here too, in place of the target's own report.
fn tell_load(node: &Node, target: &str, headers: &mut HeaderMap) {
    let catalog = node.catalog.borrow();
    let Some(target) = catalog.get(target) else {
        return;
    };
    let board = node.balancer.borrow();
    let load = board.load_report(&target.id, target.slots, node.now());
    let text = format!("{},{},{}", load.running, load.waiting, load.slots);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(node.header_names.load.clone(), value);
    }
}

fn told(mut answer: HttpResponse, how: &'static str) -> HttpResponse {
    let how = HeaderValue::from_static(how);
    answer.headers_mut().insert(OUTCOME, how);
    answer
}

fn put(headers: &mut HeaderMap, name: &HeaderName, number: u64) {
    headers.insert(name, HeaderValue::from(number));
}
