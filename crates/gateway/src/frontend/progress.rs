//! What is known of a request after its attempts so far, and how it fails in the end.

use {
    crate::{
        Node,
        http_client::{Outcome, TargetResponse},
        node::{RequestContext, RetryCause},
    },
    route::Kind,
    std::time::Duration,
};

/// `Retry-After` of a VM that is shutting down, as the caller goes to another one.
pub(super) const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Why a request ended without a response from a target.
pub(super) enum Failure {
    /// No target ran the request, so that the caller may safely retry it.
    NotExecuted {
        reason: &'static str,
        retry_after: Duration,
        /// Whether the request was refused for lack of room, so that the time to return is planned.
        is_shed: bool,
        /// Whether targets declined the request although they had free slots.
        had_free_slots: bool,
    },
    /// A target may have run the request, but no valid response came.
    Indeterminate(&'static str),
    /// The deadline passed; a target may have run the request.
    TimedOut,
}

/// What is known of a request after its attempts so far.
#[derive(Default)]
pub(super) struct Progress {
    /// Whether the request was counted for the retry budget.
    is_counted: bool,
    /// Attempts that reached a target; one that cannot be reached costs no retry.
    attempts: u32,
    /// Set once a target may have run the request.
    indeterminate_reason: Option<&'static str>,
    /// Set once a target turned out to be full; a second full one ends the request.
    full_retry_after: Option<Duration>,
    /// Set once a target declined although it had a free slot.
    had_free_slots: bool,
    /// Why the request was not sent to another target, as it was logged last.
    reported_reason: Option<&'static str>,
}

impl Progress {
    /// Counts the request's first attempt, or takes a further one out of the retry budget.
    /// Returns false if none is left.
    pub(super) fn withdraw_attempt(&mut self, node: &Node, context: &RequestContext) -> bool {
        if !self.is_counted {
            self.is_counted = true;
            node.record_first_attempt(&context.service);
            return true;
        }
        self.attempts == 0 || node.try_withdraw_retry(context, self.retry_cause())
    }

    fn retry_cause(&self) -> RetryCause {
        match self.indeterminate_reason {
            Some(_) => RetryCause::Broken,
            None => RetryCause::Rejected,
        }
    }

    /// Counts the copy of a slow attempt, whose retry is already taken out of the budget.
    pub(super) fn record_copy(&mut self) {
        self.attempts += 1;
    }

    /// Records that a target was full.
    ///
    /// # Errors
    /// The [`Failure`] of the request if no further target is asked.
    pub(super) fn record_full(&mut self, retry_after: Duration) -> Result<(), Failure> {
        if self.full_retry_after.is_some() {
            return Err(self.no_room_failure(retry_after));
        }
        self.full_retry_after = Some(retry_after);
        Ok(())
    }

    /// Returns the failure of a request for which no target has room before `retry_after`.
    pub(super) fn no_room_failure(&self, retry_after: Duration) -> Failure {
        let earlier = self.full_retry_after.unwrap_or(retry_after);
        self.no_target_failure(earlier.min(retry_after))
    }

    /// Records how an attempt ended, and returns the response if there is one.
    ///
    /// # Errors
    /// The [`Failure`] of the request if it may not be sent again.
    pub(super) fn record_outcome(
        &mut self,
        context: &RequestContext,
        outcome: Outcome,
    ) -> Result<Option<TargetResponse>, Failure> {
        match outcome {
            Outcome::Answered(response) => return Ok(Some(*response)),
            Outcome::TimedOut => return Err(Failure::TimedOut),
            Outcome::NotExecuted { reason, feedback } => {
                self.attempts += u32::from(reason.is_rejection());
                self.had_free_slots |= feedback.is_some_and(|feedback| feedback.has_free_slot());
            }
            Outcome::Indeterminate(_) if !context.is_idempotent() => {
                return Err(Failure::Indeterminate("broken"));
            }
            Outcome::Indeterminate(_) => {
                self.attempts += 1;
                self.indeterminate_reason = Some("broken");
            }
        }
        if self.attempts >= context.route.max_attempts {
            return Err(self.no_target_failure(context.route.objective));
        }
        Ok(None)
    }

    /// Records that a target is at work on the request, whose response may not become whole.
    pub(super) fn record_open_exchange(&mut self) {
        self.attempts += 1;
        self.indeterminate_reason = Some("broken");
    }

    /// Returns whether the request may be sent to another target after the attempts so far.
    pub(super) fn may_send_again(&self, context: &RequestContext) -> bool {
        context.route.kind == Kind::Idempotent && self.attempts < context.route.max_attempts
    }

    /// Logs why a request that may have run is not sent to another target, unless that is logged.
    pub(super) fn report_not_sent_again(&mut self, context: &RequestContext, reason: &'static str) {
        if self.indeterminate_reason.is_some() && self.reported_reason != Some(reason) {
            self.reported_reason = Some(reason);
            let tried = context.tried_targets.len();
            log::info!(event = "not_sent_again", request = context.id.as_str(), reason = reason, targets = tried; "request without a whole response is not sent to another target");
        }
    }

    /// Returns the failure of a request that has no time left for a further attempt.
    pub(super) fn no_time_failure(&self) -> Failure {
        match self.indeterminate_reason {
            Some(_) => Failure::TimedOut,
            None => Failure::NotExecuted {
                reason: "no time left",
                retry_after: Duration::ZERO,
                is_shed: false,
                had_free_slots: false,
            },
        }
    }

    /// Returns the failure of a request that this VM has no time for before it ends.
    pub(super) fn leaving_failure(&self) -> Failure {
        match self.indeterminate_reason {
            Some(reason) => Failure::Indeterminate(reason),
            None => Failure::NotExecuted {
                reason: "leaving",
                retry_after: LEAVING_RETRY_AFTER,
                is_shed: false,
                had_free_slots: false,
            },
        }
    }

    /// Returns the failure of a request that no other target may run. It is indeterminate if an
    /// earlier attempt may have run the request.
    pub(super) fn no_target_failure(&self, retry_after: Duration) -> Failure {
        match self.indeterminate_reason {
            Some(reason) => Failure::Indeterminate(reason),
            None => Failure::NotExecuted {
                reason: "no target with room",
                retry_after,
                is_shed: true,
                had_free_slots: self.had_free_slots,
            },
        }
    }
}
