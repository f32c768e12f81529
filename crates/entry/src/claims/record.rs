//! The claim of one send of a request, and its row in the table service.

use {
    super::{Batcher, Read, Write},
    crate::node::Response,
    actix::Addr,
    actix_web::web::Bytes,
    once::{Event, ExistingClaim},
    ports::{Condition, Effect, Op, OpResult, PlatformError, Row},
    std::time::Duration,
    wire::{Claim, Outcome, Phase, Reason},
};

/// Largest answer that is kept in the row.
const MAX_KEPT_BYTES: usize = 32 * 1024;
/// Tries to record an answer; they outlast a short outage of the platform.
const RECORD_TRIES: u32 = 60;
const FIRST_RECORD_PAUSE: Duration = Duration::from_millis(50);
const MAX_RECORD_PAUSE: Duration = Duration::from_secs(2);
/// Tries to remove a claim that was given up.
const RELEASE_TRIES: u32 = 3;
const RELEASE_PAUSE: Duration = Duration::from_millis(50);

/// One claim on its way through the table service.
pub(crate) struct Record {
    row: String,
    claim: Claim,
    version: Option<u64>,
    batcher: Addr<Batcher>,
    /// What another send of the same key left.
    other: Option<Claim>,
}

impl Record {
    pub(crate) fn new(row: String, id: &str, fingerprint: &str, batcher: Addr<Batcher>) -> Self {
        let claim = Claim {
            id: id.to_owned(),
            fingerprint: fingerprint.to_owned(),
            phase: Phase::Claimed,
            status: 0,
            headers: Vec::new(),
            body: String::new(),
            kept: false,
        };
        Self {
            row,
            claim,
            version: None,
            batcher,
            other: None,
        }
    }

    /// Inserts the claim if the key is absent.
    pub(crate) async fn insert(&mut self) -> Event {
        let op = Op {
            key: self.row.clone(),
            condition: Condition::Absent,
            effect: Effect::Put(text(&self.claim)),
        };
        match self.write(op).await {
            Ok(OpResult::Applied(version)) => self.hold(version),
            Ok(OpResult::Refused(Some(row))) => self.compare(&row),
            Ok(OpResult::Refused(None)) | Err(PlatformError::ResponseLost) => {
                Event::StoreAnswerLost
            }
            Err(PlatformError::Unreachable | PlatformError::Refused(_)) => Event::StoreUnreachable,
        }
    }

    /// Reads the key back after a lost answer.
    pub(crate) async fn read_back(&mut self) -> Event {
        match self.read().await {
            Ok(Some(row)) => self.compare(&row),
            Ok(None) => Event::ClaimAbsent,
            Err(_) => Event::StoreAnswerLost,
        }
    }

    /// Records the answer in the row, so that a repeated key gets it again.
    pub(crate) async fn finish(mut self, answer: Response) {
        let Some(version) = self.version else {
            return;
        };
        self.claim.phase = Phase::Done;
        self.claim.status = answer.status;
        let body = std::str::from_utf8(&answer.body);
        if let (Ok(body), true) = (body, answer.body.len() <= MAX_KEPT_BYTES) {
            body.clone_into(&mut self.claim.body);
            self.claim.headers = answer.headers;
            self.claim.kept = true;
        }
        let op = Op {
            key: self.row.clone(),
            condition: Condition::Version(version),
            effect: Effect::Put(text(&self.claim)),
        };
        let mut pause = FIRST_RECORD_PAUSE;
        for _ in 0..RECORD_TRIES {
            match self.write(op.clone()).await {
                Ok(_) => return,
                Err(error) => {
                    log::info!(event = "answer_not_recorded", error:% = error; "answer not recorded yet");
                }
            }
            actix::clock::sleep(pause).await;
            pause = (pause * 2).min(MAX_RECORD_PAUSE);
        }
        log::warn!(event = "answer_given_up", claim = self.claim.id.as_str(); "answer not recorded");
    }

    /// Removes the claim of a send that was never dispatched; false when the
    /// table service did not confirm it.
    pub(crate) async fn release(&mut self) -> bool {
        for _ in 0..RELEASE_TRIES {
            if self.try_release().await == Ok(true) {
                return true;
            }
            actix::clock::sleep(RELEASE_PAUSE).await;
        }
        false
    }

    /// The answer that a finished send left, or why there is none.
    pub(crate) fn replay(&self) -> Response {
        let Some(claim) = self.other.as_ref().filter(|claim| claim.kept) else {
            let wait = Duration::from_mins(1);
            return Response::refusal(Outcome::MayHaveRun, Reason::AnswerLost, wait);
        };
        Response {
            outcome: Outcome::Answered,
            reason: Reason::None,
            status: claim.status,
            headers: claim.headers.clone(),
            body: Bytes::from(claim.body.clone()),
            retry_after: Duration::ZERO,
            target: String::new(),
            replayed: true,
        }
    }

    async fn try_release(&mut self) -> Result<bool, PlatformError> {
        let version = match self.version {
            Some(version) => version,
            None => match self.read().await? {
                Some(row) if self.is_mine(&row) => row.version,
                _ => return Ok(true),
            },
        };
        let op = Op {
            key: self.row.clone(),
            condition: Condition::Version(version),
            effect: Effect::Delete,
        };
        match self.write(op).await? {
            OpResult::Applied(_) | OpResult::Refused(None) => Ok(true),
            OpResult::Refused(Some(row)) => Ok(!self.is_mine(&row)),
        }
    }

    async fn write(&self, op: Op) -> Result<OpResult, PlatformError> {
        let sent = self.batcher.send(Write(op)).await;
        sent.unwrap_or(Err(PlatformError::ResponseLost))
    }

    async fn read(&self) -> Result<Option<Row>, PlatformError> {
        let sent = self.batcher.send(Read(self.row.clone())).await;
        sent.unwrap_or(Err(PlatformError::ResponseLost))
    }

    fn is_mine(&self, row: &Row) -> bool {
        let held: Result<Claim, _> = serde_json::from_str(&row.value);
        held.is_ok_and(|held| held.id == self.claim.id)
    }

    fn hold(&mut self, version: u64) -> Event {
        self.version = Some(version);
        Event::Claimed
    }

    /// Tells our own claim from another's.
    fn compare(&mut self, row: &Row) -> Event {
        let Ok(held) = serde_json::from_str::<Claim>(&row.value) else {
            return Event::KeyTaken(ExistingClaim::Pending);
        };
        if held.id == self.claim.id {
            return self.hold(row.version);
        }
        let existing = if held.fingerprint != self.claim.fingerprint {
            ExistingClaim::DifferentRequest
        } else if held.phase == Phase::Done {
            ExistingClaim::Completed
        } else {
            ExistingClaim::Pending
        };
        self.other = Some(held);
        Event::KeyTaken(existing)
    }
}

fn text(claim: &Claim) -> String {
    serde_json::to_string(claim).unwrap_or_default()
}
