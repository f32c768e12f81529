//! Body of a response: whole in memory, or passed on while it arrives.

use {
    super::{
        client::CheckIn,
        connection::Connection,
        partial_response::Rest,
        streamed::{StreamEnd, Streamed},
    },
    crate::{
        memory::{MemoryBudget, OutOfMemory},
        transport::{Guard, Unwritten},
    },
    bytes::Bytes,
    hyper::body::{Body, Frame, Incoming, SizeHint},
    std::{
        pin::Pin,
        rc::Rc,
        task::{Context, Poll},
    },
    tokio::time::Instant,
};

/// Body of a response. It is complete only if it ends without an error.
#[derive(Debug)]
pub struct ResponseBody {
    content: Content,
    /// Released when the response is written.
    guards: Vec<Guard>,
    /// When the time of its request is over; `None` for a response of this VM.
    deadline: Option<Instant>,
    /// Takes the guards over when the HTTP library drops the body, whose bytes it may still hold.
    unwritten: Option<Unwritten>,
}

#[derive(Debug)]
enum Content {
    Whole(Bytes),
    Streamed(Streamed),
}

/// The body's connection ended before the body did, or the deadline of its request passed.
#[derive(Debug, Clone, Copy, thiserror::Error)]
#[error("response body ended early")]
pub struct Incomplete;

impl ResponseBody {
    /// Creates a streamed body that holds its connection and ends at `deadline`.
    ///
    /// # Errors
    /// [`OutOfMemory`] if its buffers do not fit the memory that is left.
    pub(super) fn streamed(
        incoming: Incoming,
        connection: Connection,
        check_in: CheckIn,
        memory: &Rc<MemoryBudget>,
        deadline: Instant,
    ) -> Result<Self, OutOfMemory> {
        let streamed = Streamed::new(incoming, connection, check_in, memory, deadline)?;
        Ok(Self::new(Content::Streamed(streamed)))
    }

    /// Creates a streamed body without a length, of which a part has arrived.
    ///
    /// # Errors
    /// [`OutOfMemory`] if its buffers do not fit the memory that is left.
    pub(super) fn streamed_from(rest: Rest) -> Result<Self, OutOfMemory> {
        let deadline = rest.deadline;
        let mut body = Self::new(Content::Streamed(Streamed::without_length(rest)?));
        body.set_deadline(deadline);
        Ok(body)
    }

    /// Returns whether the body is passed on while it arrives.
    pub(crate) fn is_streamed(&self) -> bool {
        matches!(self.content, Content::Streamed(_))
    }

    /// Waits until the whole body is there, or as much of a streamed one as fits the memory for slow
    /// receivers. Returns false if it was broken off.
    pub(crate) async fn arrive(&self) -> bool {
        match &self.content {
            Content::Whole(_) => true,
            Content::Streamed(streamed) => streamed.read_ahead().await,
        }
    }

    /// Adds a function that is called when a streamed body ends. For any other body, and for one
    /// that has ended, it is dropped.
    pub(crate) fn on_end(&mut self, on_end: impl FnOnce(StreamEnd) + 'static) {
        if let Content::Streamed(streamed) = &self.content {
            streamed.on_end(Box::new(on_end));
        }
    }

    /// Holds a guard until the response is written, or given up.
    pub(crate) fn hold(&mut self, guard: impl Sized + 'static) {
        self.guards.push(Box::new(guard));
    }

    /// Leaves the guards to a connection, until it has written the response.
    pub(crate) fn hold_until_written(&mut self, unwritten: Unwritten) {
        unwritten.set_deadline(self.deadline);
        self.unwritten = Some(unwritten);
    }

    /// Sets when the time of its request is over.
    pub(super) fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }

    fn new(content: Content) -> Self {
        Self {
            content,
            guards: Vec::new(),
            deadline: None,
            unwritten: None,
        }
    }
}

impl From<Bytes> for ResponseBody {
    fn from(bytes: Bytes) -> Self {
        Self::new(Content::Whole(bytes))
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(unwritten) = self.unwritten.take() {
            unwritten.hold(std::mem::take(&mut self.guards));
        }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Incomplete;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Incomplete>>> {
        match &mut self.get_mut().content {
            Content::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Content::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Content::Streamed(streamed) => streamed.poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.is_empty(),
            Content::Streamed(streamed) => streamed.remaining_bytes() == Some(0),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(u64::try_from(bytes.len()).unwrap_or(u64::MAX))
            }
            Content::Streamed(streamed) => streamed
                .remaining_bytes()
                .map_or_else(SizeHint::default, SizeHint::with_exact),
        }
    }
}
