//! Claims of idempotency keys in the table service.

mod batcher;
mod record;

pub(crate) use batcher::{Batcher, Read, Write};
pub(crate) use record::Record;
