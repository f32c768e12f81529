//! The listener for callers: look-ups and requests.

mod answer;
mod lookup;
mod parse;
mod serve;

pub(crate) use serve::routes;
