//! The process of a VM whose routes, targets and peers come from the platform's store.
//!
//! It serves callers, sends their requests to targets, and learns from the store and
//! from other VMs. How the platform names and writes things is left to an adapter,
//! which fills in [`Settings`], [`HeaderNames`] and [`Store`]. See `docs/PLATFORM.md`.

mod clock;
mod errors;
mod exchange;
mod frontend;
mod header_names;
mod launch;
mod logs;
mod metrics;
mod node;
mod peers;
mod settings;
mod store;

pub use clock::Clock;
pub use errors::{GatewayError, StoreError};
pub use exchange::Client;
pub use frontend::{HttpResponse, ServerConfig, serve_http};
pub use header_names::HeaderNames;
pub use launch::{Components, ReloadSettings, run};
pub use logs::init as init_logging;
pub use node::Node;
pub use settings::{Bounds, Settings};
pub use store::{
    Change, DecodeRecord, ListVms, ReadTable, RegisterVm, Registration, Store, StoreFuture,
    VersionedRows, WatchTable,
};
