//! What one VM knows, each part behind its own borrow that is never held across an await.

mod changes;
mod choose;
mod directory;
mod keepers;
mod state;
mod work;

pub(crate) use keepers::{Keeper, Keepers};
pub use state::Node;
pub(crate) use state::millis;
pub(crate) use work::{Choice, Only, Step, Waiting, Work};
