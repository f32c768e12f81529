//! Reads the body of a request.

use {
    crate::Node,
    bytes::Bytes,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::{Body, Incoming},
    std::{rc::Rc, time::Duration},
};

/// Part of the memory that bodies of requests may take, as a divisor.
const MEMORY_PART: usize = 4;

/// Why a body is not to be had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("body is longer than the limit")]
    TooLong,
    #[error("body did not arrive in time")]
    TimedOut,
    #[error("body ended early")]
    Broken,
    #[error("bodies take all the memory that they may")]
    NoMemory,
}

/// A body, counted against the memory for bodies until it is dropped.
pub(crate) struct Content {
    pub(crate) bytes: Bytes,
    node: Rc<Node>,
}

impl Drop for Content {
    fn drop(&mut self) {
        let held = self.node.buffered.get();
        self.node
            .buffered
            .set(held.saturating_sub(self.bytes.len()));
    }
}

/// Reads a whole body within the limits.
pub(crate) async fn read(
    node: &Rc<Node>,
    body: Incoming,
    most: usize,
    until: Duration,
) -> Result<Content, BodyError> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if stated > most {
        return Err(BodyError::TooLong);
    }
    if node.buffered.get() + stated > node.settings.memory_bytes / MEMORY_PART {
        return Err(BodyError::NoMemory);
    }
    let whole = Limited::new(body, most).collect();
    let bytes = match tokio::time::timeout_at(node.clock.at(until), whole).await {
        Err(_) => return Err(BodyError::TimedOut),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(BodyError::TooLong),
        Ok(Err(_)) => return Err(BodyError::Broken),
        Ok(Ok(whole)) => whole.to_bytes(),
    };
    node.buffered.set(node.buffered.get() + bytes.len());
    Ok(Content {
        bytes,
        node: node.clone(),
    })
}
