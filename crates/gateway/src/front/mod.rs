//! Serves callers.

mod answer;
mod body;
mod parse;
mod pass;
mod relayed;
mod serve;
mod server;
mod transit;

pub use answer::Answer;
pub(crate) use answer::plain;
pub(crate) use relayed::{is_relayed, relayed};
pub(crate) use serve::serve;
pub use server::{Server, serve_http};
