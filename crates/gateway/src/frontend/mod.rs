//! Serves callers.

mod answer;
mod body;
mod parse;
mod pass;
mod relayed;
mod serve;
mod server;
mod transit;

pub use answer::HttpResponse;
pub(crate) use answer::text_response;
pub(crate) use relayed::{is_relayed, relayed};
pub(crate) use serve::serve;
pub use server::{ServerConfig, serve_http};
