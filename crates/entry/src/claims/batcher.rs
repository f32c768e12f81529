//! Batching of claim writes, which limits the transactions on the table service.

use {
    actix::{
        Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, ResponseFuture, WrapFuture,
    },
    ports::{Op, OpResult, PlatformError, Row, Table},
    std::time::{Duration, Instant},
    tokio::sync::oneshot,
};

/// Maximum number of operations in one commit.
const MAX_BATCH: usize = 256;
/// Maximum number of queued operations; further ones are refused.
const MAX_QUEUED: usize = 4096;

/// Message: writes one operation with the next commit.
#[derive(Message)]
#[rtype(result = "Result<OpResult, PlatformError>")]
pub(crate) struct Write(pub(crate) Op);

/// Message: reads one row, without batching.
#[derive(Message)]
#[rtype(result = "Result<Option<Row>, PlatformError>")]
pub(crate) struct Read(pub(crate) String);

type ResultSender = oneshot::Sender<Result<OpResult, PlatformError>>;

/// Actor that sends one commit at a time and at most one in each `interval`.
pub(crate) struct Batcher {
    table: Table,
    interval: Duration,
    queued: Vec<(Op, ResultSender)>,
    /// Whether a commit is in flight.
    is_committing: bool,
    last_commit_at: Option<Instant>,
    /// Whether a timer will start the next commit.
    is_timer_set: bool,
}

impl Batcher {
    /// Creates a batcher with at least `interval` between the starts of two commits.
    pub(crate) fn new(table: Table, interval: Duration) -> Self {
        Self {
            table,
            interval,
            queued: Vec::new(),
            is_committing: false,
            last_commit_at: None,
            is_timer_set: false,
        }
    }

    /// Commits the queued operations now, or sets a timer if the interval has not passed.
    fn flush(&mut self, ctx: &mut Context<Self>) {
        if self.is_committing || self.queued.is_empty() || self.is_timer_set {
            return;
        }
        let elapsed = self.last_commit_at.map(|at| at.elapsed());
        let delay = elapsed.map_or(Duration::ZERO, |elapsed| {
            self.interval.saturating_sub(elapsed)
        });
        if delay > Duration::ZERO {
            self.is_timer_set = true;
            ctx.run_later(delay, |this, ctx| {
                this.is_timer_set = false;
                this.flush(ctx);
            });
            return;
        }
        self.commit(ctx);
    }

    /// Commits the oldest queued operations, at most [`MAX_BATCH`].
    fn commit(&mut self, ctx: &mut Context<Self>) {
        let size = self.queued.len().min(MAX_BATCH);
        let (ops, senders): (Vec<Op>, Vec<ResultSender>) = self.queued.drain(..size).unzip();
        self.is_committing = true;
        self.last_commit_at = Some(Instant::now());
        metrics::counter!("claims_commits_total").increment(1);
        metrics::counter!("claims_writes_total").increment(size as u64);
        let commit = (self.table.commit)(ops);
        let completion = commit.into_actor(self).map(move |result, this, ctx| {
            this.is_committing = false;
            distribute_results(result, senders);
            this.flush(ctx);
        });
        ctx.spawn(completion);
    }
}

impl Actor for Batcher {
    type Context = Context<Self>;
}

impl Handler<Write> for Batcher {
    type Result = ResponseFuture<Result<OpResult, PlatformError>>;

    fn handle(&mut self, Write(op): Write, ctx: &mut Self::Context) -> Self::Result {
        if self.queued.len() >= MAX_QUEUED {
            return Box::pin(async { Err(PlatformError::Unreachable) });
        }
        let (sender, receiver) = oneshot::channel();
        self.queued.push((op, sender));
        self.flush(ctx);
        Box::pin(async move { receiver.await.unwrap_or(Err(PlatformError::ResponseLost)) })
    }
}

impl Handler<Read> for Batcher {
    type Result = ResponseFuture<Result<Option<Row>, PlatformError>>;

    fn handle(&mut self, Read(key): Read, _ctx: &mut Self::Context) -> Self::Result {
        let read = (self.table.get)(vec![key]);
        Box::pin(async move { Ok(read.await?.pop().flatten()) })
    }
}

/// Sends each operation its result. If the commit failed, every operation gets the error.
fn distribute_results(result: Result<Vec<OpResult>, PlatformError>, senders: Vec<ResultSender>) {
    match result {
        Ok(results) if results.len() == senders.len() => {
            for (sender, result) in senders.into_iter().zip(results) {
                let _ = sender.send(Ok(result));
            }
        }
        Ok(_) => fail_all(senders, &PlatformError::ResponseLost),
        Err(error) => fail_all(senders, &error),
    }
}

fn fail_all(senders: Vec<ResultSender>, error: &PlatformError) {
    metrics::counter!("claims_commit_failures_total").increment(1);
    for sender in senders {
        let _ = sender.send(Err(error.clone()));
    }
}
