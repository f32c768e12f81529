//! Sends a request to targets until there is an answer, or none can be had.

use {
    super::{
        answer::{HttpResponse, refusal, text_response},
        pass::pass,
    },
    crate::{
        Node,
        exchange::{Outcome, Outgoing, Response},
        node::{QueueEntry, RequestContext, Reservation, Selection},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{StatusCode, header::CONTENT_LENGTH},
    std::{rc::Rc, time::Duration},
};

/// Pause after which a waiting request looks again.
const RECHECK: Duration = Duration::from_millis(20);
/// Requests with less time left are not sent: no target could answer.
const MIN_LEFT: Duration = Duration::from_millis(5);

/// What is known at the end of a request that no target answered.
enum Failure {
    /// No target ran it.
    NotRun {
        reason: &'static str,
        after: Duration,
    },
    /// It may have run.
    Doubt(&'static str),
    /// The time was up; it may have run.
    TimedOut,
}

/// Runs a request and logs how it ended.
pub(crate) async fn run(
    node: &Rc<Node>,
    mut work: RequestContext,
    outgoing: &Outgoing,
    fingerprint: &str,
) -> HttpResponse {
    let blocked = node
        .quarantine
        .borrow()
        .blocked_for(fingerprint, node.now());
    let result = match blocked {
        Some(after) => Err(Failure::NotRun {
            reason: "quarantined",
            after,
        }),
        None => attempts(node, &mut work, outgoing, fingerprint).await,
    };
    finish(node, &work, result)
}

async fn attempts(
    node: &Rc<Node>,
    work: &mut RequestContext,
    outgoing: &Outgoing,
    fingerprint: &str,
) -> Result<Response, Failure> {
    let mut doubt: Option<&'static str> = None;
    let mut arrived = 0;
    let mut full: Option<Duration> = None;
    loop {
        if work.deadline.saturating_sub(node.now()) < MIN_LEFT {
            return Err(if doubt.is_some() {
                Failure::TimedOut
            } else {
                late()
            });
        }
        let choice = match find(node, work).await {
            Ok(choice) => choice,
            Err(after) => return Err(no_target(doubt, full.unwrap_or(after).min(after))),
        };
        if arrived == 0 && work.tried_targets.is_empty() {
            node.record_first_attempt(&work.service);
        } else if arrived > 0 && !node.withdraw_retry(&work.service) {
            return Err(no_target(doubt, work.route.objective));
        }
        let target = choice.dispatch.target.clone();
        work.tried_targets.push(target.clone());
        let outcome = match pass(node, work, outgoing, &choice, fingerprint).await {
            Ok(outcome) => outcome,
            Err(after) => {
                let soonest = full.map_or(after, |full| full.min(after));
                if full.replace(soonest).is_some() {
                    return Err(no_target(doubt, soonest));
                }
                continue;
            }
        };
        drop(choice);
        match outcome {
            Outcome::Answered(response) => return Ok(*response),
            Outcome::TimedOut => return Err(Failure::TimedOut),
            Outcome::NotRun { why, .. } => arrived += u32::from(why.arrived()),
            Outcome::Broken(_) if !work.is_idempotent() => return Err(Failure::Doubt("broken")),
            Outcome::Broken(_) => {
                arrived += 1;
                doubt = Some("broken");
            }
        }
        if arrived >= work.route.max_attempts {
            return Err(no_target(doubt, work.route.objective));
        }
    }
}

/// Finds a target, after a wait if that leaves time for an answer.
pub(super) async fn find(node: &Rc<Node>, work: &RequestContext) -> Result<Reservation, Duration> {
    let mut place: Option<(String, QueueEntry)> = None;
    loop {
        match node.select_target(work) {
            Selection::Send(choice) => return Ok(*choice),
            Selection::Refuse { retry_after: after } => return Err(after),
            Selection::Wait { target } => {
                let waits_for = place.as_ref().map(|(target, _)| target);
                if waits_for != Some(&target) {
                    drop(place.take());
                    let waiting = QueueEntry::enqueue(node, target.clone(), work.queue_key);
                    place = Some((target, waiting));
                }
            }
        }
        // Room may also come from other VMs, of which nobody tells.
        let freed = node.capacity_freed.notified();
        let _ = tokio::time::timeout(RECHECK, freed).await;
    }
}

fn late() -> Failure {
    Failure::NotRun {
        reason: "no time left",
        after: Duration::ZERO,
    }
}

fn no_target(doubt: Option<&'static str>, after: Duration) -> Failure {
    match doubt {
        Some(reason) => Failure::Doubt(reason),
        None => Failure::NotRun {
            reason: "no target with room",
            after,
        },
    }
}

fn finish(
    node: &Rc<Node>,
    work: &RequestContext,
    result: Result<Response, Failure>,
) -> HttpResponse {
    let took = node.now().saturating_sub(work.arrived_at);
    let (answer, outcome) = match result {
        Ok(response) => (deliver(response), "answered"),
        Err(Failure::NotRun { reason, after }) => (refusal(reason, after), reason),
        Err(Failure::Doubt(reason)) => (
            text_response(StatusCode::BAD_GATEWAY, "no whole answer"),
            reason,
        ),
        Err(Failure::TimedOut) => (
            text_response(StatusCode::GATEWAY_TIMEOUT, "time is up"),
            "timed out",
        ),
    };
    let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
    let status = answer.status().as_u16();
    log::info!(event = "request_ended", request = work.id.as_str(), route = work.route.name.as_str(), service = work.service.as_str(), status = status, outcome = outcome, targets = work.tried_targets.len(), version = node.route_table().version(), took_ms = took_ms; "request ended");
    metrics::counter!("cicadalift_requests_total", "outcome" => outcome).increment(1);
    metrics::histogram!("cicadalift_request_seconds").record(took.as_secs_f64());
    answer
}

/// A target's answer as the caller gets it.
pub(super) fn deliver(response: Response) -> HttpResponse {
    let mut headers = response.headers;
    super::parse::strip(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut answer = HttpResponse::new(Full::<Bytes>::new(response.body));
    *answer.status_mut() = response.status;
    *answer.headers_mut() = headers;
    answer
}
