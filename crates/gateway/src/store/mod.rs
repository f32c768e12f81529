//! The platform's store, as far as the gateway needs it.

mod attend;
mod feed;
mod port;
mod pull;
mod register;

pub(crate) use attend::{WAIT, attend, follows_store};
pub(crate) use feed::{apply, follow};
pub use port::{
    Change, DecodeRecord, ListVms, ReadTable, RegisterVm, Registration, Store, StoreFuture,
    VersionedRows, WatchTable,
};
pub(crate) use pull::pull_loop;
pub(crate) use register::{register, unregister};
