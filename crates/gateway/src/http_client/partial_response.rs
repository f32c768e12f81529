//! A response whose body states no length, while it arrives.

use {
    super::{
        Outcome, Reply, ResponseBody, ResponseFault, TargetResponse, buffered::Buffered,
        client::CheckIn, connection::Connection, send_tracker::Transmission,
    },
    balance::Feedback,
    hyper::{HeaderMap, StatusCode},
    std::fmt,
    tokio::time::Instant,
};

/// A response with a valid head, and the part of its body that has arrived. The target is at work on
/// the rest.
pub(crate) struct PartialResponse {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) feedback: Feedback,
    pub(super) rest: Rest,
    /// Dropped at the end of the exchange.
    pub(super) _transmission: Transmission,
}

/// A body that has not arrived whole, and its connection.
pub(super) struct Rest {
    pub(super) body: Buffered,
    pub(super) connection: Connection,
    pub(super) check_in: CheckIn,
    /// When the time of the request is over.
    pub(super) deadline: Instant,
}

impl PartialResponse {
    /// Returns how much of the body has arrived.
    pub(crate) fn arrived_bytes(&self) -> usize {
        self.rest.body.arrived_bytes()
    }

    /// Awaits the rest of the body, until `overdue` completes.
    pub(crate) async fn finish_unless(mut self: Box<Self>, overdue: impl Future) -> Reply {
        let read = tokio::select! {
            biased;
            read = self.rest.body.read_to_end() => read,
            _ = overdue => return Reply::Partial(self),
        };
        Reply::Ended(self.into_outcome(read))
    }

    /// Awaits the rest of the body until the deadline of the request.
    pub(crate) async fn finish(mut self: Box<Self>) -> Outcome {
        let read = self.rest.body.read_to_end();
        match tokio::time::timeout_at(self.rest.deadline, read).await {
            Ok(read) => self.into_outcome(read),
            Err(_) => Outcome::TimedOut,
        }
    }

    /// Returns the outcome after the body was `read` to its end.
    fn into_outcome(self, read: Result<(), ResponseFault>) -> Outcome {
        if let Err(fault) = read {
            return Outcome::Indeterminate(fault);
        }
        self.rest.check_in.check_in_when_ready(self.rest.connection);
        let mut body = self.rest.body.into_body();
        body.set_deadline(self.rest.deadline);
        Outcome::Answered(Box::new(TargetResponse {
            status: self.status,
            headers: self.headers,
            body,
            feedback: self.feedback,
        }))
    }

    /// Returns the response with a body that is passed on while it arrives.
    ///
    /// # Errors
    /// [`ResponseFault::TooLarge`] if the buffers of the body do not fit the memory that is left.
    pub(crate) fn into_streamed(self) -> Result<TargetResponse, ResponseFault> {
        Ok(TargetResponse {
            status: self.status,
            headers: self.headers,
            body: ResponseBody::streamed_from(self.rest).map_err(|_| ResponseFault::TooLarge)?,
            feedback: self.feedback,
        })
    }
}

impl fmt::Debug for PartialResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PartialResponse")
            .field("status", &self.status)
            .field("arrived_bytes", &self.arrived_bytes())
            .finish_non_exhaustive()
    }
}
