//! Reads the body of a request.

use {
    crate::Node,
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
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

/// A body, counted against the memory for bodies from its first byte until it is dropped.
pub(crate) struct Content {
    pub(crate) bytes: Bytes,
    _held: Held,
}

struct Held {
    node: Rc<Node>,
    bytes: usize,
}

impl Held {
    fn add(&mut self, bytes: usize) -> Result<(), BodyError> {
        let all = self.node.buffered_bytes.get() + bytes;
        if all > self.node.settings.memory_bytes / MEMORY_PART {
            return Err(BodyError::NoMemory);
        }
        self.node.buffered_bytes.set(all);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let held = self.node.buffered_bytes.get();
        self.node
            .buffered_bytes
            .set(held.saturating_sub(self.bytes));
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
    let whole = collect(node, body, most);
    let whole = tokio::time::timeout_at(node.clock.instant_at(until), whole).await;
    whole.unwrap_or(Err(BodyError::TimedOut))
}

/// Counts each piece as it arrives: a body in chunks does not say how long it will be.
async fn collect(node: &Rc<Node>, mut body: Incoming, most: usize) -> Result<Content, BodyError> {
    let mut held = Held {
        node: node.clone(),
        bytes: 0,
    };
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if whole.len() + data.len() > most {
            return Err(BodyError::TooLong);
        }
        held.add(data.len())?;
        whole.extend_from_slice(&data);
    }
    Ok(Content {
        bytes: whole.freeze(),
        _held: held,
    })
}
