//! A body that is passed on while it arrives.

use {
    super::{
        client::CheckIn, connection::Connection, partial_response::Rest, response_body::Incomplete,
    },
    crate::memory::{MemoryBudget, MemoryReservation, OutOfMemory},
    bytes::Bytes,
    hyper::body::{Body, Frame, Incoming},
    std::{
        cell::RefCell,
        collections::VecDeque,
        fmt,
        pin::Pin,
        rc::Rc,
        task::{Context, Poll, Waker},
        time::Duration,
    },
    tokio::{task::AbortHandle, time::Instant},
};

/// A longer body of known length is passed on while it arrives.
const MIN_STREAMED_BYTES: u64 = 16 * 1024;
/// Memory counted for a streamed body: the buffers of its two connections.
const STREAM_BUFFER_BYTES: usize = 128 * 1024;
/// Interval at which it is checked whether the receiver is slower than the sender.
const READ_AHEAD_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which it is checked whether a body has arrived that its watchdog may be reading.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Bodies that are read ahead of slow receivers leave free this part of the memory of all bodies.
const READ_AHEAD_DIVISOR: usize = 2;

/// How a streamed body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamEnd {
    /// All of it was passed on.
    Complete,
    /// Its connection ended early.
    Truncated,
    /// The deadline of the request passed.
    TimedOut,
    /// The receiver left.
    Cancelled,
}

impl StreamEnd {
    /// Returns the text for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Truncated => "cut",
            Self::TimedOut => "timed-out",
            Self::Cancelled => "cancelled",
        }
    }
}

/// A function that is called when a body ends.
pub(super) type OnEnd = Box<dyn FnOnce(StreamEnd)>;

/// A body that is passed on while it arrives.
#[derive(Debug)]
pub(super) struct Streamed {
    /// How much the receiver has not taken yet; `None` if the body states no length.
    remaining_bytes: Option<u64>,
    source: Shared,
    /// Ends the body at the deadline even if its receiver has stopped reading, and reads ahead of a
    /// slow receiver.
    watchdog: AbortHandle,
}

/// `None` once the body has ended.
type Shared = Rc<RefCell<Option<Source>>>;

/// Where a streamed body comes from, and what is held until it ends.
struct Source {
    incoming: Incoming,
    /// Bytes that have not arrived yet; `None` if the body states no length.
    missing_bytes: Option<u64>,
    /// How the arrival ended, which the receiver learns when it has taken all that came before.
    arrival_end: Option<Result<(), Incomplete>>,
    /// The connection, until all bytes have arrived.
    link: Option<(Connection, CheckIn)>,
    /// What was read ahead of the receiver.
    ahead: VecDeque<Bytes>,
    ahead_memory: MemoryReservation,
    /// Wakes the receiver if it waits for more of the body.
    receiver: Option<Waker>,
    on_end: Vec<OnEnd>,
    _buffer_memory: MemoryReservation,
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Source").finish_non_exhaustive()
    }
}

/// Returns whether the buffers of one more streamed body fit the memory that is left.
pub(crate) fn has_memory_for_stream(memory: &Rc<MemoryBudget>) -> bool {
    memory.reserve(STREAM_BUFFER_BYTES).is_ok()
}

/// Returns whether a body is passed on while it arrives instead of being buffered.
pub(super) fn is_streamed(body: &Incoming) -> bool {
    body.size_hint()
        .exact()
        .is_some_and(|bytes| bytes > MIN_STREAMED_BYTES)
}

impl Source {
    /// Polls the connection for the next part of the body.
    fn poll_incoming(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Incomplete>>> {
        while self.arrival_end.is_none() {
            let Poll::Ready(frame) = Pin::new(&mut self.incoming).poll_frame(context) else {
                return Poll::Pending;
            };
            match frame {
                None => self.record_arrival_end(),
                Some(Err(_)) => self.arrival_end = Some(Err(Incomplete)),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        self.record_arrival(bytes.len());
                        return Poll::Ready(Some(Ok(bytes)));
                    }
                }
            }
        }
        Poll::Ready(self.arrival_end.and_then(Result::err).map(Err))
    }

    /// Gives the connection back once the whole body has arrived, so that its slot at the target is
    /// free however slowly the receiver reads.
    fn record_arrival(&mut self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        if let Some(missing_bytes) = &mut self.missing_bytes {
            *missing_bytes = missing_bytes.saturating_sub(bytes);
            if *missing_bytes == 0 {
                self.give_back_connection();
            }
        }
    }

    /// Records that the connection brings no more of the body, which is whole if it states no length
    /// or none is missing.
    fn record_arrival_end(&mut self) {
        let is_whole = self.missing_bytes.unwrap_or_default() == 0;
        self.arrival_end = Some(is_whole.then_some(()).ok_or(Incomplete));
        if is_whole {
            self.give_back_connection();
        }
    }

    fn give_back_connection(&mut self) {
        if let Some((connection, check_in)) = self.link.take() {
            check_in.check_in_when_ready(connection);
        }
    }

    /// Removes the next part from what was read ahead.
    fn take_ahead(&mut self) -> Option<Bytes> {
        let bytes = self.ahead.pop_front()?;
        self.ahead_memory.shrink(bytes.len());
        Some(bytes)
    }

    /// Reads as much as is there and fits the memory for slow receivers, unless the receiver waits for the
    /// body itself. Completes if there is nothing more to do.
    fn poll_ahead(&mut self, context: &mut Context<'_>) -> Poll<()> {
        while self.receiver.is_none()
            && self.link.is_some()
            && self.ahead_memory.leaves_free(READ_AHEAD_DIVISOR)
        {
            match self.poll_incoming(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Some(Ok(bytes))) => {
                    // A failure ends the reading, and what was read must not be lost.
                    let _ = self.ahead_memory.grow(bytes.len());
                    self.ahead.push_back(bytes);
                }
                // The receiver is told when it comes that far.
                Poll::Ready(_) => break,
            }
        }
        Poll::Ready(())
    }

    fn end(mut self, end: StreamEnd) {
        for on_end in self.on_end.drain(..) {
            on_end(end);
        }
        if let Some(receiver) = self.receiver.take() {
            receiver.wake();
        }
    }
}

/// Ends a source unless it has already ended.
fn end_source(source: &Shared, end: StreamEnd) {
    let ended = source.borrow_mut().take();
    if let Some(source) = ended {
        source.end(end);
    }
}

/// Reads ahead of a slow receiver, and ends the body at the deadline.
async fn watch(source: Shared, deadline: Instant) {
    loop {
        tokio::time::sleep_until(deadline.min(Instant::now() + READ_AHEAD_INTERVAL)).await;
        if Instant::now() >= deadline {
            end_source(&source, StreamEnd::TimedOut);
            return;
        }
        // Begun anew now and then, as the receiver may have taken the wake-up over.
        let _ = tokio::time::timeout(READ_AHEAD_INTERVAL, read_ahead_once(&source)).await;
    }
}

/// Reads ahead of the receiver until there is nothing more to do.
async fn read_ahead_once(source: &Shared) {
    let read = std::future::poll_fn(|context| {
        let mut source = source.borrow_mut();
        let open = source.as_mut();
        open.map_or(Poll::Ready(()), |open| open.poll_ahead(context))
    });
    read.await;
}

impl Streamed {
    /// Creates a body that holds its connection until it has arrived, and ends at `deadline`.
    ///
    /// # Errors
    /// [`OutOfMemory`] if its buffers do not fit the memory that is left.
    pub(super) fn new(
        incoming: Incoming,
        connection: Connection,
        check_in: CheckIn,
        memory: &Rc<MemoryBudget>,
        deadline: Instant,
    ) -> Result<Self, OutOfMemory> {
        let remaining_bytes = Some(incoming.size_hint().lower());
        let source = Source {
            incoming,
            missing_bytes: remaining_bytes,
            arrival_end: None,
            link: Some((connection, check_in)),
            ahead: VecDeque::new(),
            ahead_memory: memory.empty_reservation(),
            receiver: None,
            on_end: Vec::new(),
            _buffer_memory: memory.reserve(STREAM_BUFFER_BYTES)?,
        };
        Ok(Self::start(source, remaining_bytes, deadline))
    }

    /// Creates a body without a length, of which a part has arrived.
    ///
    /// # Errors
    /// [`OutOfMemory`] if its buffers do not fit the memory that is left.
    pub(super) fn without_length(rest: Rest) -> Result<Self, OutOfMemory> {
        let buffer_memory = rest.check_in.client.memory.reserve(STREAM_BUFFER_BYTES)?;
        let (incoming, arrived, ahead_memory) = rest.body.split();
        let source = Source {
            incoming,
            missing_bytes: None,
            arrival_end: None,
            link: Some((rest.connection, rest.check_in)),
            ahead: VecDeque::from_iter(Some(arrived).filter(|arrived| !arrived.is_empty())),
            ahead_memory,
            receiver: None,
            on_end: Vec::new(),
            _buffer_memory: buffer_memory,
        };
        Ok(Self::start(source, None, rest.deadline))
    }

    fn start(source: Source, remaining_bytes: Option<u64>, deadline: Instant) -> Self {
        let source = Rc::new(RefCell::new(Some(source)));
        let watchdog = tokio::task::spawn_local(watch(source.clone(), deadline));
        Self {
            remaining_bytes,
            source,
            watchdog: watchdog.abort_handle(),
        }
    }

    /// Returns how much the receiver has not taken yet; `None` if the body states no length.
    pub(super) fn remaining_bytes(&self) -> Option<u64> {
        self.remaining_bytes
    }

    /// Adds a function that is called when the body ends, unless it has ended.
    pub(super) fn on_end(&self, on_end: OnEnd) {
        if let Some(source) = self.source.borrow_mut().as_mut() {
            source.on_end.push(on_end);
        }
    }

    /// Reads ahead of the receiver until the whole body is there, or the memory for slow receivers is
    /// used up. Returns false if the body was broken off.
    pub(super) async fn read_ahead(&self) -> bool {
        loop {
            let read = read_ahead_once(&self.source);
            let is_done = tokio::time::timeout(ARRIVAL_CHECK_INTERVAL, read).await;
            if is_done.is_ok() {
                let source = self.source.borrow();
                let arrival_end = source.as_ref().and_then(|open| open.arrival_end);
                return source.is_some() && !matches!(arrival_end, Some(Err(_)));
            }
        }
    }

    pub(super) fn poll_frame(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        if self.remaining_bytes == Some(0) {
            return Poll::Ready(None);
        }
        let mut source = self.source.borrow_mut();
        let Some(open) = source.as_mut() else {
            return Poll::Ready(Some(Err(Incomplete)));
        };
        open.receiver = None;
        let bytes = match open.take_ahead() {
            Some(bytes) => Some(Ok(bytes)),
            None => match open.poll_incoming(context) {
                Poll::Ready(bytes) => bytes,
                Poll::Pending => {
                    open.receiver = Some(context.waker().clone());
                    return Poll::Pending;
                }
            },
        };
        drop(source);
        match bytes {
            Some(Ok(bytes)) => {
                self.record_taken(bytes.len());
                Poll::Ready(Some(Ok(Frame::data(bytes))))
            }
            None if self.remaining_bytes.is_none() => {
                self.remaining_bytes = Some(0);
                end_source(&self.source, StreamEnd::Complete);
                Poll::Ready(None)
            }
            None | Some(Err(Incomplete)) => {
                end_source(&self.source, StreamEnd::Truncated);
                Poll::Ready(Some(Err(Incomplete)))
            }
        }
    }

    /// Counts what the receiver has taken of a body that states its length.
    fn record_taken(&mut self, bytes: usize) {
        if let Some(remaining_bytes) = &mut self.remaining_bytes {
            let taken_bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
            *remaining_bytes = remaining_bytes.saturating_sub(taken_bytes);
            if *remaining_bytes == 0 {
                end_source(&self.source, StreamEnd::Complete);
            }
        }
    }
}

impl Drop for Streamed {
    fn drop(&mut self) {
        self.watchdog.abort();
        end_source(&self.source, StreamEnd::Cancelled);
    }
}
