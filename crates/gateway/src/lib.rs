//! Gateway that serves callers on a VM and forwards their requests to targets.
//!
//! Routes, targets and peers come from the platform's store and from other VMs. The crate is
//! independent of the platform: an adapter supplies its settings, header names and store
//! operations as [`Settings`], [`HeaderNames`] and [`Store`]. See `docs/PLATFORM.md`.

mod clock;
mod errors;
mod frontend;
mod header_names;
mod http_client;
mod launch;
mod line_limit;
mod logging;
mod memory;
mod metrics;
mod node;
mod peers;
mod settings;
mod store;
mod transport;

pub use clock::Clock;
pub use errors::{GatewayError, StoreError};
pub use frontend::{HttpResponse, ServerConfig, serve_http};
pub use header_names::{FeedbackFormat, HeaderNames};
pub use http_client::{Client, Incomplete, ResponseBody};
pub use launch::{Components, ReloadSettings, run};
pub use line_limit::LineLimit;
pub use logging::init as init_logging;
pub use node::Node;
pub use settings::{Bounds, Settings};
pub use store::{
    Change, Configuration, DecodeRecord, ListVms, ReadTable, RegisterVm, Registration, Store,
    StoreFuture, TableWatch, VersionedRows, WatchTable,
};
