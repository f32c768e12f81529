//! Connections over TCP: what becomes of the bytes that the HTTP library hands over. See
//! `docs/PLATFORM.md`, "Slow readers".

mod socket;
mod stream;
mod unwritten;
mod watch;

pub(crate) use stream::Stream;
pub(crate) use unwritten::{Guard, Unwritten};
