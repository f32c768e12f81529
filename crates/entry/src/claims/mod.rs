//! Claims of idempotency keys, stored as rows of the table service.

mod batcher;
mod record;

pub(crate) use batcher::{Batcher, Read, Write};
pub(crate) use record::Record;
