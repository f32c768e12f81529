//! Buffers request bodies within limits on size, time and memory.

use {
    crate::{
        Node,
        memory::{MemoryReservation, OutOfMemory},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    std::{rc::Rc, time::Duration},
};

/// Why a request body could not be buffered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("request body exceeds the size limit")]
    TooLarge,
    #[error("request body did not arrive before the deadline")]
    TimedOut,
    #[error("connection failed before the end of the request body")]
    Incomplete,
    #[error("{0}")]
    OutOfMemory(#[from] OutOfMemory),
}

/// A buffered request body. Its memory stays reserved until it is dropped.
pub(crate) struct BufferedBody {
    pub(crate) bytes: Bytes,
    _reservation: MemoryReservation,
}

/// Reads a whole request body. Fails if it is larger than `max_bytes`, exceeds the memory limit or
/// is not complete by `deadline`, a time since the start of the process.
pub(crate) async fn read(
    node: &Rc<Node>,
    body: Incoming,
    max_bytes: usize,
    deadline: Duration,
) -> Result<BufferedBody, BodyError> {
    let declared_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if declared_bytes > max_bytes {
        return Err(BodyError::TooLarge);
    }
    let buffered = buffer_frames(node, body, max_bytes);
    let buffered = tokio::time::timeout_at(node.clock.instant_at(deadline), buffered).await;
    buffered.unwrap_or(Err(BodyError::TimedOut))
}

/// Checks the limits at each frame, as a chunked body does not declare its length.
async fn buffer_frames(
    node: &Rc<Node>,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<BufferedBody, BodyError> {
    let mut reservation = node.client.memory.empty_reservation();
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Incomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        reservation.grow(data.len())?;
        buffer.extend_from_slice(&data);
    }
    Ok(BufferedBody {
        bytes: buffer.freeze(),
        _reservation: reservation,
    })
}
