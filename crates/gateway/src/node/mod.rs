//! What one VM knows, each part behind its own borrow that is never held across an await.

mod changes;
mod directory;
mod state;
mod work;

pub use state::Node;
pub(crate) use state::millis;
pub(crate) use work::{Choice, Step, Waiting, Work};
