//! Execution of non-idempotent requests, at most once for each idempotency key.

use {
    super::{
        Context,
        slot::{Reservation, Slot, acquire_slot, reserve_admission, upstream_response},
    },
    crate::{
        claims::Record,
        node::{InFlightGuard, PoolKey, Request, Response},
        peers,
        upstream::SendResult,
    },
    once::{Action, Attempt, Event, Key, Safeguards},
    std::time::Duration,
    wire::Reason,
};

const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs the request in a task of its own, so that it completes and its response is
/// recorded even if the caller disconnects.
pub(crate) async fn run_once(context: &Context, key: &PoolKey, request: &Request) -> Response {
    let (context, key, request) = (context.clone(), key.clone(), request.clone());
    let unknown_outcome = Request::refuse_unknown_outcome();
    let task = actix_web::rt::spawn(async move {
        let _in_flight = InFlightGuard::new(&context.node);
        Driver::new(&context, &key, &request).drive().await
    });
    task.await.unwrap_or(unknown_outcome)
}

/// Performs the actions of the [`Attempt`] state machine and feeds their results back as
/// events.
struct Driver<'a> {
    context: &'a Context,
    key: &'a PoolKey,
    request: &'a Request,
    attempt: Attempt,
    record: Record,
    reservation: Option<Reservation<'a>>,
    slot: Option<Slot<'a>>,
    avoid_target: Option<usize>,
    response: Option<Response>,
    retry_after: Duration,
}

impl<'a> Driver<'a> {
    fn new(context: &'a Context, key: &'a PoolKey, request: &'a Request) -> Self {
        let now_ms = context.node.clock.unix_time_ms();
        let row_key =
            Key::parse(&request.idempotency_key, now_ms).map(|key| key.row_key(&request.service));
        let claim_batcher = context.node.claim_batcher.clone();
        let claim_id = format!("{}/{}/{}", context.node.vm.name, key.site, request.id);
        let record = Record::new(
            row_key.unwrap_or_default(),
            &claim_id,
            &request.fingerprint,
            claim_batcher,
        );
        Self {
            context,
            key,
            request,
            attempt: Attempt::new(Safeguards::STRICT, request.unresolved_attempts > 0),
            record,
            reservation: None,
            slot: None,
            avoid_target: None,
            response: None,
            retry_after: RETRY_AFTER,
        }
    }

    /// Runs the state machine to its end and returns the response.
    async fn drive(mut self) -> Response {
        let event = self.reserve_admission();
        let mut action = self.attempt.handle(event);
        loop {
            let event = match action {
                Action::InsertClaim => self.record.insert().await,
                Action::ReadBackClaim => self.record.read_back().await,
                Action::AwaitSlot => self.await_slot().await,
                Action::Dispatch => self.dispatch().await,
                Action::ReplayResponse => return self.record.replay(),
                Action::RecordResponse => return self.record_and_respond(),
                Action::Refuse {
                    outcome,
                    reason,
                    release,
                } => {
                    self.reservation = None;
                    let reason = self.release_claim(reason, release).await;
                    return Response::refusal(outcome, reason, self.retry_after);
                }
            };
            action = self.attempt.handle(event);
        }
    }

    fn reserve_admission(&mut self) -> Event {
        match reserve_admission(self.context, self.key, self.request) {
            Ok(reservation) => {
                self.reservation = Some(reservation);
                Event::Admitted
            }
            Err((reason, retry_after)) => self.set_retry_after(Event::Refused(reason), retry_after),
        }
    }

    async fn await_slot(&mut self) -> Event {
        self.reservation = None;
        match acquire_slot(self.context, self.key, self.request, self.avoid_target).await {
            Ok(slot) => {
                self.avoid_target = Some(slot.target());
                self.slot = Some(slot);
                Event::SlotGranted
            }
            Err((reason, retry_after)) => {
                self.set_retry_after(Event::SlotDenied(reason), retry_after)
            }
        }
    }

    async fn dispatch(&mut self) -> Event {
        let Some(slot) = self.slot.take() else {
            return Event::ConnectFailed;
        };
        let target_name = slot.target_name();
        let sent_at = self.context.node.now();
        let remaining = self
            .request
            .deadline
            .saturating_sub(self.context.node.now());
        match slot.send(self.request, remaining, true).await {
            SendResult::Answered {
                status,
                headers,
                body,
                ..
            } => {
                self.response = Some(upstream_response(status, headers, body, target_name));
                Event::Answered
            }
            SendResult::Shed => Event::Shed,
            SendResult::ConnectFailed => Event::ConnectFailed,
            SendResult::Incomplete {
                reason,
                suspected_crash,
            } => {
                log::info!(event = "exchange_broke", request = self.request.id.as_str(), target = target_name.as_str(), reason:% = reason; "exchange with the target failed before the complete response");
                if suspected_crash {
                    peers::report_crash(self.context, self.request, sent_at).await;
                }
                Event::ExchangeFailed(reason)
            }
        }
    }

    /// Returns the response at once and records it in the background.
    fn record_and_respond(mut self) -> Response {
        let response = self.response.take();
        let response = response.unwrap_or_else(Request::refuse_unknown_outcome);
        let (record, recorded) = (self.record, response.clone());
        let in_flight = InFlightGuard::new(&self.context.node);
        actix_web::rt::spawn(async move {
            record.record_response(recorded).await;
            drop(in_flight);
        });
        response
    }

    /// Removes the claim if `release` is set, and returns the reason of the refusal. A
    /// claim that could not be removed blocks the key, so the reason is then changed to
    /// one for which no other site is tried.
    async fn release_claim(&mut self, reason: Reason, release: bool) -> Reason {
        if !release || self.record.release().await {
            return reason;
        }
        Reason::StoreDown
    }

    /// Sets the retry time of the refusal that follows, and returns the event unchanged.
    fn set_retry_after(&mut self, event: Event, retry_after: Duration) -> Event {
        self.retry_after = retry_after;
        event
    }
}
