//! Connections over TCP: what becomes of the bytes that the HTTP library hands over.

mod stream;
mod unwritten;

pub(crate) use stream::Stream;
pub(crate) use unwritten::{Guard, Unwritten};
