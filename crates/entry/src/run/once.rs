//! Runs non-idempotent requests, at most once for each key.

use {
    super::{
        Context,
        slot::{Reservation, Slot, acquire, answered, reserve},
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

/// Runs the request as a task of its own, so that it comes to its end, and its
/// answer is recorded, even when the caller goes away.
pub(crate) async fn run(context: &Context, key: &PoolKey, request: &Request) -> Response {
    let (context, key, request) = (context.clone(), key.clone(), request.clone());
    let doubt = Request::refuse_unknown_outcome();
    let task = actix_web::rt::spawn(async move {
        let _in_flight = InFlightGuard::begin(&context.node);
        Driver::new(&context, &key, &request).drive().await
    });
    task.await.unwrap_or(doubt)
}

/// Carries the actions of [`Attempt`] out and reports their results to it.
struct Driver<'a> {
    context: &'a Context,
    key: &'a PoolKey,
    request: &'a Request,
    attempt: Attempt,
    record: Record,
    reservation: Option<Reservation<'a>>,
    slot: Option<Slot<'a>>,
    avoid: Option<usize>,
    answer: Option<Response>,
    retry_after: Duration,
}

impl<'a> Driver<'a> {
    fn new(context: &'a Context, key: &'a PoolKey, request: &'a Request) -> Self {
        let wall = context.node.clock.unix_ms();
        let row =
            Key::parse(&request.idempotency_key, wall).map(|key| key.row_key(&request.service));
        let claims = context.node.claim_batcher.clone();
        let id = format!("{}/{}/{}", context.node.vm.name, key.site, request.id);
        let record = Record::new(row.unwrap_or_default(), &id, &request.fingerprint, claims);
        Self {
            context,
            key,
            request,
            attempt: Attempt::new(Safeguards::STRICT, request.unresolved_attempts > 0),
            record,
            reservation: None,
            slot: None,
            avoid: None,
            answer: None,
            retry_after: RETRY_AFTER,
        }
    }

    async fn drive(mut self) -> Response {
        let event = self.admit();
        let mut action = self.attempt.handle(event);
        loop {
            let event = match action {
                Action::InsertClaim => self.record.insert().await,
                Action::ReadBackClaim => self.record.read_back().await,
                Action::AwaitSlot => self.await_slot().await,
                Action::Dispatch => self.dispatch().await,
                Action::ReplayAnswer => return self.record.replay(),
                Action::RecordAnswer => return self.finish(),
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

    fn admit(&mut self) -> Event {
        match reserve(self.context, self.key, self.request) {
            Ok(reservation) => {
                self.reservation = Some(reservation);
                Event::Admitted
            }
            Err((reason, retry_after)) => self.refused(Event::Refused(reason), retry_after),
        }
    }

    async fn await_slot(&mut self) -> Event {
        self.reservation = None;
        match acquire(self.context, self.key, self.request, self.avoid).await {
            Ok(slot) => {
                self.avoid = Some(slot.target());
                self.slot = Some(slot);
                Event::SlotGranted
            }
            Err((reason, retry_after)) => self.refused(Event::SlotDenied(reason), retry_after),
        }
    }

    async fn dispatch(&mut self) -> Event {
        let Some(slot) = self.slot.take() else {
            return Event::ConnectFailed;
        };
        let name = slot.target_name();
        let left = self
            .request
            .deadline
            .saturating_sub(self.context.node.now());
        match slot.send(self.request, left, true).await {
            SendResult::Answered {
                status,
                headers,
                body,
                ..
            } => {
                self.answer = Some(answered(status, headers, body, name));
                Event::Answered
            }
            SendResult::Shed => Event::Shed,
            SendResult::ConnectFailed => Event::ConnectFailed,
            SendResult::Incomplete {
                reason,
                suspected_crash,
            } => {
                log::info!(event = "exchange_broke", request = self.request.id.as_str(), target = name.as_str(), reason:% = reason; "exchange broke");
                if suspected_crash {
                    peers::report_crash(self.context, self.request).await;
                }
                Event::ExchangeFailed(reason)
            }
        }
    }

    /// Gives the answer at once and records it behind.
    fn finish(mut self) -> Response {
        let answer = self.answer.take();
        let answer = answer.unwrap_or_else(Request::refuse_unknown_outcome);
        let (record, recorded) = (self.record, answer.clone());
        let in_flight = InFlightGuard::begin(&self.context.node);
        actix_web::rt::spawn(async move {
            record.finish(recorded).await;
            drop(in_flight);
        });
        answer
    }

    /// Removes the claim where asked. A claim that stays bars the key, so another
    /// site must not be tried.
    async fn release_claim(&mut self, reason: Reason, release: bool) -> Reason {
        if !release || self.record.release().await {
            return reason;
        }
        Reason::StoreDown
    }

    fn refused(&mut self, event: Event, retry_after: Duration) -> Event {
        self.retry_after = retry_after;
        event
    }
}
