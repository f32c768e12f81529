//! What targets state about themselves in the heads of their responses, and which of it is in
//! force. See `docs/PLATFORM.md`, section "What targets state about themselves".

mod report;
mod statements;
mod token_bucket;

pub use report::{Feedback, Field, Slowdown};
pub use statements::{Change, Gossip, RateLimit, Source, Statements};
