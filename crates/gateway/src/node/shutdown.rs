//! When this VM ends, and the VMs that relay to it, and which requests can be answered before.
//!
//! A VM that ends owes an answer for each request that it has read. See `docs/PLATFORM.md`,
//! "Stopping a VM".

use {
    super::{Node, RequestContext},
    balance::{Decision, EligibleTarget, PendingRequest, shutdown},
    std::{rc::Rc, time::Duration},
};

/// The process ends this long before the grace period is over, as it would be killed then.
const GRACE_MARGIN: Duration = Duration::from_millis(200);
/// A response is ready this long before the process ends, so that it is written in time.
const WRITE_TIME: Duration = Duration::from_millis(300);
/// Time within which the other VMs hear that a VM leaves.
const NOTICE_TIME: Duration = Duration::from_millis(500);

impl Node {
    /// Returns the time at which the process ends, or `None` if this VM is not leaving.
    pub(crate) fn ends_at(&self) -> Option<Duration> {
        let since = self.leaving_since()?;
        Some(since + self.bounds().grace.saturating_sub(GRACE_MARGIN))
    }

    /// Completes when this VM leaves and has no more time for requests that were not sent to a target.
    pub(crate) async fn end_of_answers(&self) {
        let mut leaving = self.watch_leaving();
        // `wait_for` does not fail, as the sender lives until the process ends.
        drop(leaving.wait_for(Option::is_some).await);
        if let Some(ends_at) = self.ends_at() {
            let respond_by = ends_at.saturating_sub(WRITE_TIME);
            tokio::time::sleep_until(self.clock.instant_at(respond_by)).await;
        }
    }

    /// Returns the time by which a request has to be answered because this VM ends, or the VM that
    /// relayed it. `None` if neither leaves.
    pub(crate) fn respond_by(&self, request: &RequestContext) -> Option<Duration> {
        let relayer_ends_at = request.assignment.as_ref().and_then(|assignment| {
            let name = assignment.relayed_by.as_deref()?;
            let stated = assignment.relayer_ends_at;
            stated.or_else(|| self.relayer_ends_at(name))
        });
        let ends_at = [self.ends_at(), relayer_ends_at]
            .into_iter()
            .flatten()
            .min();
        ends_at.map(|ends_at| ends_at.saturating_sub(WRITE_TIME))
    }

    /// Returns the time at which another VM ends at the earliest, if it has begun to leave since it
    /// relayed a request that waits here.
    fn relayer_ends_at(&self, name: &str) -> Option<Duration> {
        let (is_leaving, is_alive) = {
            let view = self.member_view();
            (view.is_leaving(name), view.is_alive(name))
        };
        let mut seen = self.leaving_vms.borrow_mut();
        if is_alive {
            // It was replaced.
            seen.remove(name);
        } else if is_leaving && !seen.contains_key(name) {
            seen.insert(name.to_owned(), self.now());
        }
        let since = *seen.get(name)?;
        let margin = GRACE_MARGIN + NOTICE_TIME;
        Some(since + self.bounds().grace.saturating_sub(margin))
    }

    /// Returns the time that is left for a request, until its deadline or the end of a VM that owes its
    /// answer.
    pub(crate) fn time_left(&self, request: &RequestContext, now: Duration) -> Duration {
        let respond_by = self.respond_by(request).unwrap_or(request.deadline);
        request.deadline.min(respond_by).saturating_sub(now)
    }

    /// Returns whether a request is refused just because a VM that owes its answer ends, so that it
    /// may be served elsewhere.
    pub(super) fn is_refused_for_end(
        self: &Rc<Self>,
        request: &RequestContext,
        pending: &PendingRequest<'_>,
        eligible: &[EligibleTarget<'_>],
        decision: &Decision,
        now: Duration,
    ) -> bool {
        let Some(respond_by) = self.respond_by(request) else {
            return false;
        };
        let until_end = respond_by.saturating_sub(now);
        match decision {
            _ if request.deadline <= respond_by => false,
            Decision::Wait { .. } => until_end.is_zero(),
            Decision::Send(_) => {
                let run_s = self.balancer.borrow().cached_run_s(&request.route.name);
                let expected_run = run_s.map_or(Duration::ZERO, Duration::from_secs_f64);
                !shutdown::may_begin(until_end, expected_run)
            }
            Decision::Refuse { .. } => {
                let without_end = PendingRequest {
                    time_left: request.deadline.saturating_sub(now),
                    ..*pending
                };
                let decision = self.decide(&without_end, eligible, now);
                !matches!(decision, Decision::Refuse { .. })
            }
        }
    }
}
