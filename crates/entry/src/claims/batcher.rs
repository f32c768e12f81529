//! Groups the writes of claims, so that the table service sees few transactions.

use {
    actix::{
        Actor, ActorFutureExt, AsyncContext, Context, Handler, Message, ResponseFuture, WrapFuture,
    },
    ports::{Op, OpResult, PlatformError, Row, Table},
    std::time::{Duration, Instant},
    tokio::sync::oneshot,
};

/// Most operations in one commit.
const MAX_BATCH: usize = 256;
/// Most operations that wait; more are refused at once.
const MAX_WAITING: usize = 4096;

/// Writes one operation with the next commit.
#[derive(Message)]
#[rtype(result = "Result<OpResult, PlatformError>")]
pub(crate) struct Write(pub(crate) Op);

/// Reads one row.
#[derive(Message)]
#[rtype(result = "Result<Option<Row>, PlatformError>")]
pub(crate) struct Read(pub(crate) String);

type Reply = oneshot::Sender<Result<OpResult, PlatformError>>;

/// Sends one commit at a time and never more than one in `interval`.
pub(crate) struct Batcher {
    table: Table,
    interval: Duration,
    waiting: Vec<(Op, Reply)>,
    committing: bool,
    last_commit: Option<Instant>,
    timer: bool,
}

impl Batcher {
    pub(crate) fn new(table: Table, interval: Duration) -> Self {
        Self {
            table,
            interval,
            waiting: Vec::new(),
            committing: false,
            last_commit: None,
            timer: false,
        }
    }

    /// Commits what waits, now or when the interval allows.
    fn flush(&mut self, ctx: &mut Context<Self>) {
        if self.committing || self.waiting.is_empty() || self.timer {
            return;
        }
        let since = self.last_commit.map(|at| at.elapsed());
        let pause = since.map_or(Duration::ZERO, |since| self.interval.saturating_sub(since));
        if pause > Duration::ZERO {
            self.timer = true;
            ctx.run_later(pause, |this, ctx| {
                this.timer = false;
                this.flush(ctx);
            });
            return;
        }
        self.commit(ctx);
    }

    fn commit(&mut self, ctx: &mut Context<Self>) {
        let size = self.waiting.len().min(MAX_BATCH);
        let (ops, replies): (Vec<Op>, Vec<Reply>) = self.waiting.drain(..size).unzip();
        self.committing = true;
        self.last_commit = Some(Instant::now());
        metrics::counter!("claims_commits_total").increment(1);
        metrics::counter!("claims_writes_total").increment(size as u64);
        let commit = (self.table.commit)(ops);
        let done = commit.into_actor(self).map(move |result, this, ctx| {
            this.committing = false;
            distribute(result, replies);
            this.flush(ctx);
        });
        ctx.spawn(done);
    }
}

impl Actor for Batcher {
    type Context = Context<Self>;
}

impl Handler<Write> for Batcher {
    type Result = ResponseFuture<Result<OpResult, PlatformError>>;

    fn handle(&mut self, Write(op): Write, ctx: &mut Self::Context) -> Self::Result {
        if self.waiting.len() >= MAX_WAITING {
            return Box::pin(async { Err(PlatformError::Unreachable) });
        }
        let (reply, result) = oneshot::channel();
        self.waiting.push((op, reply));
        self.flush(ctx);
        Box::pin(async move { result.await.unwrap_or(Err(PlatformError::ResponseLost)) })
    }
}

impl Handler<Read> for Batcher {
    type Result = ResponseFuture<Result<Option<Row>, PlatformError>>;

    fn handle(&mut self, Read(key): Read, _ctx: &mut Self::Context) -> Self::Result {
        let read = (self.table.get)(vec![key]);
        Box::pin(async move { Ok(read.await?.pop().flatten()) })
    }
}

/// Gives each operation its result; a failure of the commit is the failure of all.
fn distribute(result: Result<Vec<OpResult>, PlatformError>, replies: Vec<Reply>) {
    match result {
        Ok(results) if results.len() == replies.len() => {
            for (reply, result) in replies.into_iter().zip(results) {
                let _ = reply.send(Ok(result));
            }
        }
        Ok(_) => fail(replies, &PlatformError::ResponseLost),
        Err(error) => fail(replies, &error),
    }
}

fn fail(replies: Vec<Reply>, error: &PlatformError) {
    metrics::counter!("claims_commit_failures_total").increment(1);
    for reply in replies {
        let _ = reply.send(Err(error.clone()));
    }
}
