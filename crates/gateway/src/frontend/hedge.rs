//! Sends a slow read once more while its first exchange goes on, and takes the first good response.

use {
    super::{
        attempt::{Refusal, attempt_target},
        exchange::Exchange,
    },
    crate::{
        Node,
        http_client::{Outcome, TargetRequest},
        node::{CopyCheck, RequestContext, Reservation, duration_ms},
    },
    std::{pin::Pin, rc::Rc},
};

/// Number of times that a copy of one request is considered.
const MAX_CHECKS: usize = 3;

/// The result of an exchange that has ended, or why there was none.
type AttemptResult = Result<Outcome, Refusal>;

/// What an attempt has led to, with its copy if there was one.
pub(super) struct Attempted {
    pub(super) result: Result<Exchange, Refusal>,
    /// The target that a copy was sent to.
    pub(super) copied_to: Option<String>,
}

/// Sends a request to a target, and once more to another one if the response is overdue.
pub(super) async fn attempt_with_copy(
    node: &Rc<Node>,
    context: &RequestContext,
    request: &TargetRequest,
    reservation: Reservation,
    fingerprint: &str,
) -> Attempted {
    let reservation = Rc::new(reservation);
    let first = attempt_target(node, context, request, &reservation, fingerprint);
    let mut first = std::pin::pin!(first);
    let copy = match await_overdue(node, context, &reservation, first.as_mut()).await {
        Awaited::Ended(result) => return alone(result),
        Awaited::Overdue(None) => return alone(first.await),
        Awaited::Overdue(Some(copy)) => copy,
    };
    let copied_to = Some(copy.dispatch.target.clone());
    let first = std::pin::pin!(finish(node, context, first, fingerprint));
    // Boxed, as most requests have no copy.
    let second = attempt_target(node, context, request, &copy, fingerprint);
    let mut second = Box::pin(finish(node, context, second, fingerprint));
    let (result, winner, was_sent) = race(first, second.as_mut()).await;
    drop(second);
    if !was_sent {
        node.refund_retry(&context.service);
        return alone(result.map(Exchange::Ended));
    }
    // Another result is only used once both exchanges have ended.
    if rank(&result) == Rank::Good {
        let loser = match winner {
            Winner::First => &copy,
            Winner::Copy => &reservation,
        };
        node.record_given_up(&loser.dispatch);
    }
    report_end(node, context, &copy, winner);
    Attempted {
        result: result.map(Exchange::Ended),
        copied_to,
    }
}

/// Awaits the end of an attempt, as the request is at another target beside it already.
async fn finish(
    node: &Rc<Node>,
    context: &RequestContext,
    attempt: impl Future<Output = Result<Exchange, Refusal>>,
    fingerprint: &str,
) -> AttemptResult {
    Ok(attempt.await?.finish(node, context, fingerprint).await)
}

fn alone(result: Result<Exchange, Refusal>) -> Attempted {
    Attempted {
        result,
        copied_to: None,
    }
}

/// Why an exchange is not awaited alone any longer.
enum Awaited {
    Ended(Result<Exchange, Refusal>),
    /// It is overdue. A copy is sent to the reserved target, if there is one.
    Overdue(Option<Rc<Reservation>>),
}

/// Awaits an exchange until a copy is to be sent, or it is clear that none will be.
async fn await_overdue(
    node: &Rc<Node>,
    context: &RequestContext,
    reservation: &Reservation,
    mut first: Pin<&mut impl Future<Output = Result<Exchange, Refusal>>>,
) -> Awaited {
    let dispatch = &reservation.dispatch;
    if !node.may_copy(context, dispatch) {
        return Awaited::Overdue(None);
    }
    if let Some(at) = node.time_for_copy_in_time(context, dispatch) {
        let elapsed = node.now().saturating_sub(dispatch.sent_at);
        let remaining = at.saturating_sub(elapsed);
        if let Ok(result) = tokio::time::timeout(remaining, first.as_mut()).await {
            return Awaited::Ended(result);
        }
        if let Some(copy) = node.reserve_copy_in_time(context) {
            report_sent(node, context, reservation, &copy);
            return Awaited::Overdue(Some(Rc::new(copy)));
        }
    }
    let Some(mut check_at) = node.first_copy_check(context, dispatch) else {
        return Awaited::Overdue(None);
    };
    for _ in 0..MAX_CHECKS {
        let elapsed = node.now().saturating_sub(dispatch.sent_at);
        let remaining = check_at.saturating_sub(elapsed);
        if let Ok(result) = tokio::time::timeout(remaining, first.as_mut()).await {
            return Awaited::Ended(result);
        }
        match node.check_copy(context, dispatch) {
            CopyCheck::Send(copy) => {
                report_sent(node, context, reservation, &copy);
                return Awaited::Overdue(Some(Rc::from(copy)));
            }
            CopyCheck::Later(at) => check_at = at,
            CopyCheck::Declined(declined) => {
                metrics::counter!("cicadalift_copies_declined_total", "reason" => declined.as_str())
                    .increment(1);
                log::info!(event = "copy_declined", request = context.id.as_str(), target = dispatch.target.as_str(), reason = declined.as_str(); "request is slow at its target, but is not sent to another one beside");
                break;
            }
        }
    }
    Awaited::Overdue(None)
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Winner {
    First,
    Copy,
}

/// Returns the first result that is a good response, or the better one of both, and whether the
/// second exchange was sent to a target, as far as it has ended.
async fn race(
    mut first: Pin<&mut impl Future<Output = AttemptResult>>,
    mut second: Pin<&mut impl Future<Output = AttemptResult>>,
) -> (AttemptResult, Winner, bool) {
    let (result, winner) = tokio::select! {
        result = first.as_mut() => (result, Winner::First),
        result = second.as_mut() => (result, Winner::Copy),
    };
    if rank(&result) == Rank::Good {
        return (result, winner, true);
    }
    let (other, other_winner) = match winner {
        Winner::First => (second.await, Winner::Copy),
        Winner::Copy => (first.await, Winner::First),
    };
    let copy_result = if winner == Winner::Copy {
        &result
    } else {
        &other
    };
    let was_sent = !matches!(copy_result, Err(Refusal::Elsewhere { .. }));
    // Of two that are as good, that of the first exchange counts: the refusal of a copy says nothing of
    // the target of the first one.
    let is_first = other_winner == Winner::First;
    if rank(&other) < rank(&result) || (is_first && rank(&other) == rank(&result)) {
        (other, other_winner, was_sent)
    } else {
        (result, winner, was_sent)
    }
}

/// How useful a result is for the caller, the best first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Good,
    ServerError,
    MayHaveRun,
    NotRun,
}

fn rank(result: &AttemptResult) -> Rank {
    match result {
        Ok(Outcome::Answered(response)) if response.status.is_server_error() => Rank::ServerError,
        Ok(Outcome::Answered(_)) => Rank::Good,
        Ok(Outcome::Indeterminate(_) | Outcome::TimedOut) => Rank::MayHaveRun,
        Ok(Outcome::NotExecuted { .. }) | Err(_) => Rank::NotRun,
    }
}

fn report_sent(node: &Node, context: &RequestContext, first: &Reservation, copy: &Reservation) {
    metrics::counter!("cicadalift_copies_sent_total").increment(1);
    let after_ms = duration_ms(node.now().saturating_sub(first.dispatch.sent_at));
    log::info!(event = "copy_sent", request = context.id.as_str(), target = first.dispatch.target.as_str(), to = copy.dispatch.target.as_str(), belief:? = copy.dispatch.affinity, after_ms = after_ms; "request is slow at its target and was sent to another one beside");
}

fn report_end(node: &Node, context: &RequestContext, copy: &Reservation, winner: Winner) {
    let end = match winner {
        Winner::First => "lost",
        Winner::Copy => "won",
    };
    metrics::counter!("cicadalift_copies_total", "end" => end).increment(1);
    let took_ms = duration_ms(node.now().saturating_sub(copy.dispatch.sent_at));
    log::info!(event = "copy_ended", request = context.id.as_str(), to = copy.dispatch.target.as_str(), end = end, took_ms = took_ms; "request or its copy has a response that is used; the other one is not awaited");
}
