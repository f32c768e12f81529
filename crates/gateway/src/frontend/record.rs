//! Records how exchanges with targets end: in the log, the metrics, and what is known of the targets.

use {
    crate::{
        Node,
        http_client::{NotExecutedReason, Outcome, StreamEnd},
        node::{RequestContext, Reservation, duration_ms},
    },
    balance::{Dispatch, Feedback, LoadReport},
    std::{rc::Rc, time::Duration},
};

/// An exchange with a target through another VM.
pub(super) struct RelayedExchange<'a> {
    /// Name of that VM.
    pub(super) through: &'a str,
    pub(super) outcome: &'a Outcome,
    /// Time that the target took to respond, if the VM states it.
    pub(super) running_time: Option<Duration>,
}

/// Updates load, quarantine and health statistics after an exchange through another VM.
///
/// A lost connection counts as a rejection here, as the other VM tracks the target's failures.
pub(super) fn record_relayed_exchange(
    node: &Rc<Node>,
    context: &RequestContext,
    reservation: &Reservation,
    exchange: &RelayedExchange<'_>,
    fingerprint: &str,
) {
    let now = node.now();
    let dispatch = &reservation.dispatch;
    let outcome = exchange.outcome;
    log_exchange(context, dispatch, exchange.through, outcome, now);
    record_statements(node, context, dispatch, outcome, false);
    record_response_time(node, context, dispatch, outcome, now);
    match outcome {
        Outcome::Answered(response) => {
            let mut balancer = node.balancer.borrow_mut();
            let load = response.feedback.load;
            balancer.record_relayed_response(dispatch, load, exchange.running_time, now);
            node.quarantine.borrow_mut().record_success(fingerprint);
        }
        Outcome::NotExecuted {
            reason: NotExecutedReason::Unreachable,
            ..
        } => record_failure(node, context, reservation, now),
        Outcome::NotExecuted { feedback, .. } => {
            record_rejection(node, &dispatch.target, feedback.as_ref(), now);
        }
        Outcome::Indeterminate(fault) => {
            let mut balancer = node.balancer.borrow_mut();
            balancer.record_rejection(&dispatch.target, None, now);
            if fault.may_be_crash() {
                let sent_at = dispatch.sent_at;
                crate::peers::detect_crash(node, reservation.address, fingerprint, sent_at);
            }
        }
        Outcome::TimedOut => {}
    }
}

/// Records how long a caller's request was at its target, for the decisions on copies.
fn record_response_time(
    node: &Node,
    context: &RequestContext,
    dispatch: &Dispatch,
    outcome: &Outcome,
    now: Duration,
) {
    let took_time = matches!(outcome, Outcome::Answered(_) | Outcome::TimedOut);
    if took_time && node.may_copy(context, dispatch) {
        let elapsed = now.saturating_sub(dispatch.sent_at);
        let mut balancer = node.balancer.borrow_mut();
        balancer.hedging.record_response(dispatch, elapsed);
    }
}

/// Takes over what the target stated in its response, if it sent one.
fn record_statements(
    node: &Rc<Node>,
    context: &RequestContext,
    dispatch: &Dispatch,
    outcome: &Outcome,
    is_direct: bool,
) {
    if let Some(feedback) = outcome.feedback() {
        let (target, sent_at) = (&dispatch.target, dispatch.sent_at);
        node.record_statements(target, &feedback, sent_at, &context.id, is_direct);
    }
}

/// Logs an exchange with a target. `through` names the VM that relayed the request, if any.
fn log_exchange(
    context: &RequestContext,
    dispatch: &Dispatch,
    through: &str,
    outcome: &Outcome,
    now: Duration,
) {
    let took_ms = duration_ms(now.saturating_sub(dispatch.sent_at));
    log::info!(event = "exchange", request = context.id.as_str(), target = dispatch.target.as_str(), through = through, outcome = outcome.as_str(), belief:? = dispatch.affinity, locality = dispatch.locality.as_str(), ahead = dispatch.requests_ahead, took_ms = took_ms; "exchange with the target completed");
    metrics::counter!("cicadalift_exchanges_total", "outcome" => outcome.as_str()).increment(1);
}

/// Records how a streamed body ends: a target that breaks it off has failed.
pub(super) fn observe_body(
    node: &Rc<Node>,
    context: &RequestContext,
    reservation: &Reservation,
    mut outcome: Outcome,
) -> Outcome {
    let Outcome::Answered(response) = &mut outcome else {
        return outcome;
    };
    let node = node.clone();
    let request_id = context.id.clone();
    let target = reservation.dispatch.target.clone();
    response.body.on_end(move |end| {
        metrics::counter!("cicadalift_streams_total", "end" => end.as_str()).increment(1);
        if end == StreamEnd::Complete {
            return;
        }
        log::info!(event = "response_cut", request = request_id.as_str(), target = target.as_str(), reason = end.as_str(); "response broken off while its body was passed on");
        if end == StreamEnd::Truncated {
            let now = node.now();
            node.balancer.borrow_mut().record_rejection(&target, None, now);
        }
    });
    outcome
}

/// Updates load, quarantine and health statistics after a direct exchange with a target.
pub(super) fn record_outcome(
    node: &Rc<Node>,
    context: &RequestContext,
    reservation: &Reservation,
    outcome: &Outcome,
    fingerprint: &str,
) {
    reservation.record_end();
    let now = node.now();
    let dispatch = &reservation.dispatch;
    log_exchange(context, dispatch, "", outcome, now);
    record_statements(node, context, dispatch, outcome, true);
    record_response_time(node, context, dispatch, outcome, now);
    match outcome {
        Outcome::Answered(response) => {
            record_answer(node, dispatch, response.feedback.load, fingerprint);
        }
        Outcome::NotExecuted {
            reason: NotExecutedReason::Shed,
            feedback,
            ..
        } => {
            record_rejection(node, &dispatch.target, feedback.as_ref(), now);
        }
        Outcome::NotExecuted {
            reason: NotExecutedReason::Unsent,
            ..
        }
        | Outcome::TimedOut => {}
        Outcome::NotExecuted { reason, .. } => {
            record_failure(node, context, reservation, now);
            if *reason == NotExecutedReason::Unreachable {
                node.record_unreachable();
            }
        }
        Outcome::Indeterminate(fault) if fault.may_be_crash() => {
            record_failure(node, context, reservation, now);
            // The VM that relayed the request counts the crash, as it sees every target that
            // the request was sent to.
            if context.assignment.is_none() {
                let sent_at = dispatch.sent_at;
                crate::peers::detect_crash(node, reservation.address, fingerprint, sent_at);
            }
        }
        Outcome::Indeterminate(_) => {
            node.balancer
                .borrow_mut()
                .record_rejection(&dispatch.target, None, now);
        }
    }
}

/// Updates load and quarantine after a response that came whole, directly from its target.
fn record_answer(node: &Node, dispatch: &Dispatch, load: Option<LoadReport>, fingerprint: &str) {
    let now = node.now();
    let mut balancer = node.balancer.borrow_mut();
    balancer.record_response(dispatch, load, now);
    node.quarantine.borrow_mut().record_success(fingerprint);
}

/// Updates load, quarantine and health statistics after a direct exchange whose response was passed on
/// to another VM while it arrived. That VM sees its end as well.
pub(super) fn record_passed_on(
    node: &Node,
    context: &RequestContext,
    reservation: &Reservation,
    load: Option<LoadReport>,
    end: StreamEnd,
    fingerprint: &str,
) {
    let now = node.now();
    let dispatch = &reservation.dispatch;
    let took_ms = duration_ms(now.saturating_sub(dispatch.sent_at));
    log::info!(event = "passed_on", request = context.id.as_str(), target = dispatch.target.as_str(), end = end.as_str(), took_ms = took_ms; "response that was passed on to another VM while it arrived has ended");
    match end {
        StreamEnd::Complete => record_answer(node, dispatch, load, fingerprint),
        StreamEnd::Truncated => record_rejection(node, &dispatch.target, None, now),
        StreamEnd::TimedOut => {}
        // The exchange was stopped, as the other VM has a response or its caller has left.
        StreamEnd::Cancelled => return,
    }
    reservation.record_end();
}

/// Updates the statistics of a target that rejected a request. One that wants to rest is not
/// failing.
fn record_rejection(node: &Node, target: &str, feedback: Option<&Feedback>, now: Duration) {
    let report = feedback.and_then(|feedback| feedback.load);
    let mut balancer = node.balancer.borrow_mut();
    if feedback.is_some_and(Feedback::asks_for_rest) {
        balancer.record_load(target, report, now);
    } else {
        balancer.record_rejection(target, report, now);
    }
}

/// Closes the idle connections to a target and counts a failure, which may eject the target.
fn record_failure(
    node: &Rc<Node>,
    context: &RequestContext,
    reservation: &Reservation,
    now: Duration,
) {
    let may_eject = node.may_eject(&context.service);
    let target = &reservation.dispatch.target;
    node.client.close_idle(reservation.address);
    if node
        .balancer
        .borrow_mut()
        .record_failure(target, may_eject, now)
    {
        log::warn!(event = "target_ejected", target = target.as_str(), request = context.id.as_str(); "target ejected after failures; it receives no requests for a while");
    }
}
