//! Replicates the rows of the platform's store, directly or through other VMs.

mod port;
mod pull;
mod registration;
mod source;
mod watch;

pub use port::{
    Change, Configuration, DecodeRecord, ListVms, ReadTable, RegisterVm, Registration, Store,
    StoreFuture, TableWatch, VersionedRows, WatchTable,
};
pub(crate) use pull::pull_missing_rows;
pub(crate) use registration::{maintain_registration, unregister_vm};
pub(crate) use source::{poll_source, watches_store};
pub(crate) use watch::{apply_records, watch_table};
