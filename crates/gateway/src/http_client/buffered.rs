//! A body that is read whole into memory.

use {
    super::{ResponseBody, ResponseFault},
    crate::memory::{MemoryBudget, MemoryReservation, OutOfMemory},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::rc::Rc,
};

/// Largest response body that is buffered. One without a length may have no end.
const MAX_BUFFERED_BYTES: usize = 32 * 1024 * 1024;
/// A buffered body may take the memory of all bodies divided by this number.
const BODY_MEMORY_DIVISOR: usize = 8;

/// A body that is read whole into memory, and what has arrived of it.
pub(super) struct Buffered {
    incoming: Incoming,
    arrived: Vec<u8>,
    max_bytes: usize,
    memory: MemoryReservation,
}

impl Buffered {
    pub(super) fn new(incoming: Incoming, memory: &Rc<MemoryBudget>) -> Self {
        Self {
            incoming,
            arrived: Vec::new(),
            max_bytes: MAX_BUFFERED_BYTES.min(memory.limit_bytes() / BODY_MEMORY_DIVISOR),
            memory: memory.empty_reservation(),
        }
    }

    /// Reads the body to its end. Nothing is lost if the future is dropped before.
    ///
    /// # Errors
    /// A [`ResponseFault`] if the body ends early or is too large for the memory that is left.
    pub(super) async fn read_to_end(&mut self) -> Result<(), ResponseFault> {
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(|_| ResponseFault::Truncated)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if self.arrived.len() + data.len() > self.max_bytes {
                return Err(ResponseFault::TooLarge);
            }
            make_room(&mut self.arrived, data.len(), &mut self.memory)
                .map_err(|_| ResponseFault::TooLarge)?;
            self.arrived.extend_from_slice(&data);
        }
        Ok(())
    }

    /// Returns how much has arrived.
    pub(super) fn arrived_bytes(&self) -> usize {
        self.arrived.len()
    }

    /// Returns the part that has not arrived, and the other one with the memory that is counted for it.
    pub(super) fn split(self) -> (Incoming, Bytes, MemoryReservation) {
        (self.incoming, Bytes::from(self.arrived), self.memory)
    }

    /// Returns the body, which was read to its end.
    pub(super) fn into_body(self) -> ResponseBody {
        let mut body = ResponseBody::from(Bytes::from(self.arrived));
        body.hold(self.memory);
        body
    }
}

/// Grows a buffer by at least half, so that `bytes` more fit. Its whole capacity is reserved.
fn make_room(
    buffer: &mut Vec<u8>,
    bytes: usize,
    reservation: &mut MemoryReservation,
) -> Result<(), OutOfMemory> {
    let spare = buffer.capacity() - buffer.len();
    if bytes <= spare {
        return Ok(());
    }
    let growth = (bytes - spare).max(buffer.capacity() / 2);
    reservation.grow(growth)?;
    buffer.reserve_exact(spare + growth);
    Ok(())
}
