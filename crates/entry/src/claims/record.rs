//! The claim of one attempt of a request, and its row in the table service.

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

/// Size of the largest response body that is stored in the row, in bytes.
const MAX_STORED_BODY_BYTES: usize = 32 * 1024;
/// Attempts to record a response; with their delays they outlast a short outage of the
/// platform.
const MAX_RECORD_ATTEMPTS: u32 = 60;
const INITIAL_RECORD_DELAY: Duration = Duration::from_millis(50);
const MAX_RECORD_DELAY: Duration = Duration::from_secs(2);
/// Attempts to remove a claim whose request was not sent.
const MAX_RELEASE_ATTEMPTS: u32 = 3;
const RELEASE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The claim of one attempt, with the state of its row.
pub(crate) struct Record {
    row_key: String,
    claim: Claim,
    /// Version of the row once it holds this claim, used as a precondition of later writes.
    row_version: Option<u64>,
    batcher: Addr<Batcher>,
    /// Claim of another attempt that holds the key.
    existing: Option<Claim>,
}

impl Record {
    /// Creates a record whose claim is not in the table service yet. `id` identifies the
    /// attempt, `fingerprint` the request.
    pub(crate) fn new(
        row_key: String,
        id: &str,
        fingerprint: &str,
        batcher: Addr<Batcher>,
    ) -> Self {
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
            row_key,
            claim,
            row_version: None,
            batcher,
            existing: None,
        }
    }

    /// Inserts the claim if the key is absent. Returns the result as an event of the
    /// attempt.
    pub(crate) async fn insert(&mut self) -> Event {
        let op = Op {
            key: self.row_key.clone(),
            condition: Condition::Absent,
            effect: Effect::Put(serialize_claim(&self.claim)),
        };
        match self.write(op).await {
            Ok(OpResult::Applied(row_version)) => self.mark_claimed(row_version),
            Ok(OpResult::Refused(Some(row))) => self.compare_claim(&row),
            Ok(OpResult::Refused(None)) | Err(PlatformError::ResponseLost) => {
                Event::StoreResponseLost
            }
            Err(PlatformError::Unreachable | PlatformError::Rejected(_)) => Event::StoreUnreachable,
        }
    }

    /// Reads the row after the result of an insert was lost, and returns the event.
    pub(crate) async fn read_back(&mut self) -> Event {
        match self.read().await {
            Ok(Some(row)) => self.compare_claim(&row),
            Ok(None) => Event::ClaimAbsent,
            Err(_) => Event::StoreResponseLost,
        }
    }

    /// Records the response in the row, so that it is replayed to a repeated request.
    ///
    /// A body that is too large or is not UTF-8 is not stored. Writes are retried with an
    /// exponential delay.
    pub(crate) async fn record_response(mut self, response: Response) {
        let Some(row_version) = self.row_version else {
            return;
        };
        self.claim.phase = Phase::Done;
        self.claim.status = response.status;
        let body = std::str::from_utf8(&response.body);
        if let (Ok(body), true) = (body, response.body.len() <= MAX_STORED_BODY_BYTES) {
            body.clone_into(&mut self.claim.body);
            self.claim.headers = response.headers;
            self.claim.kept = true;
        }
        let op = Op {
            key: self.row_key.clone(),
            condition: Condition::Version(row_version),
            effect: Effect::Put(serialize_claim(&self.claim)),
        };
        let mut delay = INITIAL_RECORD_DELAY;
        for _ in 0..MAX_RECORD_ATTEMPTS {
            match self.write(op.clone()).await {
                Ok(_) => return,
                Err(error) => {
                    log::info!(event = "answer_not_recorded", error:% = error; "could not record the response in the claim; trying again until the attempts run out");
                }
            }
            actix::clock::sleep(delay).await;
            delay = (delay * 2).min(MAX_RECORD_DELAY);
        }
        log::warn!(event = "answer_given_up", claim = self.claim.id.as_str(); "response was not recorded; requests that repeat the key will be refused");
    }

    /// Removes the claim of an attempt that was never dispatched. Returns `false` if the
    /// table service did not confirm the removal.
    pub(crate) async fn release(&mut self) -> bool {
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            if self.try_release().await == Ok(true) {
                return true;
            }
            actix::clock::sleep(RELEASE_RETRY_DELAY).await;
        }
        false
    }

    /// Returns the response that a completed attempt recorded, or a refusal if its body
    /// was not stored.
    pub(crate) fn replay(&self) -> Response {
        let Some(claim) = self.existing.as_ref().filter(|claim| claim.kept) else {
            let retry_after = Duration::from_mins(1);
            return Response::refusal(Outcome::MayHaveRun, Reason::AnswerLost, retry_after);
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

    /// Attempts to remove the claim once. Returns whether the row no longer holds it.
    async fn try_release(&mut self) -> Result<bool, PlatformError> {
        let row_version = match self.row_version {
            Some(row_version) => row_version,
            None => match self.read().await? {
                Some(row) if self.is_own_claim(&row) => row.version,
                _ => return Ok(true),
            },
        };
        let op = Op {
            key: self.row_key.clone(),
            condition: Condition::Version(row_version),
            effect: Effect::Delete,
        };
        match self.write(op).await? {
            OpResult::Applied(_) | OpResult::Refused(None) => Ok(true),
            OpResult::Refused(Some(row)) => Ok(!self.is_own_claim(&row)),
        }
    }

    async fn write(&self, op: Op) -> Result<OpResult, PlatformError> {
        let result = self.batcher.send(Write(op)).await;
        result.unwrap_or(Err(PlatformError::ResponseLost))
    }

    async fn read(&self) -> Result<Option<Row>, PlatformError> {
        let result = self.batcher.send(Read(self.row_key.clone())).await;
        result.unwrap_or(Err(PlatformError::ResponseLost))
    }

    /// Whether the row holds the claim of this attempt.
    fn is_own_claim(&self, row: &Row) -> bool {
        let stored: Result<Claim, _> = serde_json::from_str(&row.value);
        stored.is_ok_and(|stored| stored.id == self.claim.id)
    }

    /// Stores the version of the row, which holds this claim.
    fn mark_claimed(&mut self, row_version: u64) -> Event {
        self.row_version = Some(row_version);
        Event::Claimed
    }

    /// Compares the claim in the row with that of this attempt and returns the event. A
    /// claim that cannot be parsed is treated as pending.
    fn compare_claim(&mut self, row: &Row) -> Event {
        let Ok(stored) = serde_json::from_str::<Claim>(&row.value) else {
            return Event::KeyTaken(ExistingClaim::Pending);
        };
        if stored.id == self.claim.id {
            return self.mark_claimed(row.version);
        }
        let existing = if stored.fingerprint != self.claim.fingerprint {
            ExistingClaim::DifferentRequest
        } else if stored.phase == Phase::Done {
            ExistingClaim::Completed
        } else {
            ExistingClaim::Pending
        };
        self.existing = Some(stored);
        Event::KeyTaken(existing)
    }
}

fn serialize_claim(claim: &Claim) -> String {
    serde_json::to_string(claim).unwrap_or_default()
}
