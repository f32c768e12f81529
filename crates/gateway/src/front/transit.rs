//! Sends a request to targets until there is an answer, or none can be had.

use {
    super::answer::{Answer, plain, refusal},
    crate::{
        Node,
        exchange::{
            Broken, NotRun, Outcome, Outgoing, Response, Way,
            relay::{Errand, Relayed},
        },
        node::{Choice, Keeper, Step, Waiting, Work},
    },
    balance::Belief,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{StatusCode, header::CONTENT_LENGTH},
    std::{rc::Rc, time::Duration},
};

/// Longest wait for a connection; a target that has lost its power says nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
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
    mut work: Work,
    outgoing: &Outgoing,
    fingerprint: &str,
) -> Answer {
    let blocked = node.quarantine.borrow().blocked(fingerprint, node.now());
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
    work: &mut Work,
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
        if arrived == 0 && work.tried.is_empty() {
            node.note_first(&work.service);
        } else if arrived > 0 && !node.withdraw_retry(&work.service) {
            return Err(no_target(doubt, work.route.objective));
        }
        let target = choice.sent.target.clone();
        work.tried.push(target.clone());
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

/// Passes a request to a target, through the VM that keeps its queue if that is another.
/// The error is the time after which that VM expects room.
async fn pass(
    node: &Rc<Node>,
    work: &Work,
    outgoing: &Outgoing,
    choice: &Choice,
    fingerprint: &str,
) -> Result<Outcome, Duration> {
    if let Some(keeper) = &choice.keeper {
        match relay(node, work, outgoing, choice, keeper).await {
            Relayed::Done { outcome, ran } => {
                learn_relayed(node, work, choice, &outcome, ran, fingerprint);
                return Ok(outcome);
            }
            Relayed::Full { after } => return Err(after),
            Relayed::Unserved => {}
            Relayed::Unreachable => {
                log::warn!(event = "keeper_unreachable", vm = keeper.name.as_str(), target = choice.sent.target.as_str(), request = work.id.as_str(); "sending to the target directly");
                node.avoid(keeper, node.now());
            }
            Relayed::Silent(outcome) => {
                log::warn!(event = "keeper_silent", vm = keeper.name.as_str(), target = choice.sent.target.as_str(), request = work.id.as_str(), outcome = outcome.word(); "no answer from the VM that keeps the target's queue");
                node.avoid(keeper, node.now());
                return Ok(outcome);
            }
        }
    }
    let outcome = exchange(node, work, outgoing, choice).await;
    learn(node, work, choice, &outcome, fingerprint);
    Ok(outcome)
}

async fn relay(
    node: &Rc<Node>,
    work: &Work,
    outgoing: &Outgoing,
    choice: &Choice,
    keeper: &Keeper,
) -> Relayed {
    let way = Way {
        target: &choice.sent.target,
        address: keeper.address,
        deadline: node.clock.at(work.deadline),
        connect_timeout: CONNECT_TIMEOUT,
        alone: false,
    };
    let waited = node.now().saturating_sub(work.arrived) + work.asked_before;
    let errand = Errand {
        first: choice.sent.belief != Belief::Unknown,
        waited: waited + choice.sent.round_trip,
    };
    node.client
        .relay(&node.names, outgoing, &way, &errand)
        .await
}

/// Takes what an exchange through another VM tells; that VM looks after the target.
fn learn_relayed(
    node: &Rc<Node>,
    work: &Work,
    choice: &Choice,
    outcome: &Outcome,
    ran: Option<Duration>,
    fingerprint: &str,
) {
    let now = node.now();
    let sent = &choice.sent;
    note_exchange(work, choice, outcome, now);
    match outcome {
        Outcome::Answered(response) => {
            let mut board = node.board.borrow_mut();
            board.relayed(sent, response.report, ran, now);
            node.quarantine.borrow_mut().succeed(fingerprint);
        }
        Outcome::NotRun {
            why: NotRun::Unreachable,
            ..
        } => fail(node, work, choice, now),
        Outcome::NotRun { report, .. } => {
            let mut board = node.board.borrow_mut();
            board.turned_away(&sent.target, *report, now);
        }
        Outcome::Broken(why) => {
            let mut board = node.board.borrow_mut();
            board.turned_away(&sent.target, None, now);
            if *why == Broken::Lost {
                crate::peers::suspect_crash(node, choice.address, fingerprint);
            }
        }
        Outcome::TimedOut => {}
    }
}

fn note_exchange(work: &Work, choice: &Choice, outcome: &Outcome, now: Duration) {
    let sent = &choice.sent;
    let took_ms = u64::try_from(now.saturating_sub(sent.at).as_millis()).unwrap_or(u64::MAX);
    let through = choice.keeper.as_ref().map_or("", |keeper| &keeper.name);
    log::info!(event = "exchange", request = work.id.as_str(), target = sent.target.as_str(), through = through, outcome = outcome.word(), belief:? = sent.belief, ahead = sent.ahead, took_ms = took_ms; "exchange ended");
    metrics::counter!("cicadalift_exchanges_total", "outcome" => outcome.word()).increment(1);
}

/// Finds a target, after a wait if that leaves time for an answer.
pub(super) async fn find(node: &Rc<Node>, work: &Work) -> Result<Choice, Duration> {
    let mut place: Option<(String, Waiting)> = None;
    loop {
        match node.choose(work) {
            Step::Send(choice) => return Ok(*choice),
            Step::Refuse { after } => return Err(after),
            Step::Wait { target } => {
                let waits_for = place.as_ref().map(|(target, _)| target);
                if waits_for != Some(&target) {
                    drop(place.take());
                    let waiting = Waiting::enter(node, target.clone(), work.turn);
                    place = Some((target, waiting));
                }
            }
        }
        // Room may also come from other VMs, of which nobody tells.
        let freed = node.freed.notified();
        let _ = tokio::time::timeout(RECHECK, freed).await;
    }
}

pub(super) async fn exchange(
    node: &Rc<Node>,
    work: &Work,
    outgoing: &Outgoing,
    choice: &Choice,
) -> Outcome {
    let way = Way {
        target: &choice.sent.target,
        address: choice.address,
        deadline: node.clock.at(work.deadline),
        connect_timeout: CONNECT_TIMEOUT,
        alone: !work.is_idempotent(),
    };
    node.client.send(&node.names, outgoing, &way).await
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

/// Takes what an exchange tells of the target and the request.
pub(super) fn learn(
    node: &Rc<Node>,
    work: &Work,
    choice: &Choice,
    outcome: &Outcome,
    fingerprint: &str,
) {
    let now = node.now();
    let sent = &choice.sent;
    note_exchange(work, choice, outcome, now);
    match outcome {
        Outcome::Answered(response) => {
            node.board.borrow_mut().answered(sent, response.report, now);
            node.quarantine.borrow_mut().succeed(fingerprint);
        }
        Outcome::NotRun {
            why: NotRun::Shed,
            report,
            ..
        } => {
            node.board
                .borrow_mut()
                .turned_away(&sent.target, *report, now);
        }
        Outcome::NotRun {
            why: NotRun::Unsent,
            ..
        }
        | Outcome::TimedOut => {}
        Outcome::NotRun { .. } => fail(node, work, choice, now),
        Outcome::Broken(Broken::Lost) => {
            fail(node, work, choice, now);
            // The VM that handed the request over counts, as it sees all its targets.
            if work.only.is_none() {
                crate::peers::suspect_crash(node, choice.address, fingerprint);
            }
        }
        Outcome::Broken(_) => {
            node.board.borrow_mut().turned_away(&sent.target, None, now);
        }
    }
}

fn fail(node: &Rc<Node>, work: &Work, choice: &Choice, now: Duration) {
    let may_eject = node.may_eject(&work.service);
    let target = &choice.sent.target;
    node.client.forget(choice.address);
    if node.board.borrow_mut().failed(target, may_eject, now) {
        log::warn!(event = "target_ejected", target = target.as_str(), request = work.id.as_str(); "target is not used for a while");
    }
}

fn finish(node: &Rc<Node>, work: &Work, result: Result<Response, Failure>) -> Answer {
    let took = node.now().saturating_sub(work.arrived);
    let (answer, outcome) = match result {
        Ok(response) => (deliver(response), "answered"),
        Err(Failure::NotRun { reason, after }) => (refusal(reason, after), reason),
        Err(Failure::Doubt(reason)) => (plain(StatusCode::BAD_GATEWAY, "no whole answer"), reason),
        Err(Failure::TimedOut) => (
            plain(StatusCode::GATEWAY_TIMEOUT, "time is up"),
            "timed out",
        ),
    };
    let took_ms = u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
    let status = answer.status().as_u16();
    log::info!(event = "request_ended", request = work.id.as_str(), route = work.route.name.as_str(), service = work.service.as_str(), status = status, outcome = outcome, targets = work.tried.len(), version = node.table().version(), took_ms = took_ms; "request ended");
    metrics::counter!("cicadalift_requests_total", "outcome" => outcome).increment(1);
    metrics::histogram!("cicadalift_request_seconds").record(took.as_secs_f64());
    answer
}

/// A target's answer as the caller gets it.
pub(super) fn deliver(response: Response) -> Answer {
    let mut headers = response.headers;
    super::parse::strip(&mut headers);
    headers.remove(CONTENT_LENGTH);
    let mut answer = Answer::new(Full::<Bytes>::new(response.body));
    *answer.status_mut() = response.status;
    *answer.headers_mut() = headers;
    answer
}
