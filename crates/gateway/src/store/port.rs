//! The port that an adapter fills in.

use {
    crate::StoreError,
    catalog::Target,
    route::RouteConfiguration,
    std::{future::Future, net::SocketAddr, pin::Pin, rc::Rc, time::Duration},
    wire::Record,
};

/// A result that comes later, on the same thread.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>>>>;

/// Rows of one table as of one version.
#[derive(Debug, Clone, Default)]
pub struct VersionedRows {
    /// The rows, oldest change first.
    pub records: Vec<Record>,
    /// Version up to which these are all changes.
    pub version: u64,
}

/// A VM as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where other VMs reach it.
    pub peers: SocketAddr,
    /// Where callers reach it.
    pub callers: SocketAddr,
}

/// What a row means.
#[derive(Debug, Clone)]
pub enum Change {
    /// A configuration.
    Routes(RouteConfiguration),
    /// A target's entry.
    Target(Target),
    /// The entry of a target is gone.
    TargetDeleted(String),
    /// The row stands for a target but cannot be used.
    TargetInvalid {
        /// Identifier of the target.
        id: String,
        /// What is wrong with the row.
        reason: String,
    },
    /// A zone is to get no work, or may get work again.
    Evacuation {
        /// Name of the zone.
        zone: String,
        /// Whether it is to get none.
        active: bool,
    },
    /// Nothing that the gateway uses.
    Ignored {
        /// Why it is not used.
        reason: String,
    },
}

/// Reads a whole table.
pub type ReadTable = Rc<dyn Fn(String) -> StoreFuture<VersionedRows>>;
/// Waits for changes of a table after a version, at most for a time.
pub type WatchTable = Rc<dyn Fn(String, u64, Duration) -> StoreFuture<VersionedRows>>;
/// Registers a VM.
pub type RegisterVm = Rc<dyn Fn(Registration) -> StoreFuture<()>>;
/// Lists the registered VMs.
pub type ListVms = Rc<dyn Fn() -> StoreFuture<Vec<Registration>>>;
/// Says what a row means.
pub type DecodeRecord = Rc<dyn Fn(&Record) -> Change>;

/// Calls of the platform's store.
#[derive(Clone)]
pub struct Store {
    /// Tables whose rows the gateway follows.
    pub tables: Vec<String>,
    /// Reads a whole table.
    pub read_table: ReadTable,
    /// Waits for changes.
    pub watch_table: WatchTable,
    /// Registers this VM.
    pub register_vm: RegisterVm,
    /// Removes this VM's registration.
    pub unregister_vm: RegisterVm,
    /// Lists the registered VMs.
    pub list_vms: ListVms,
    /// Says what a row means.
    pub decode_record: DecodeRecord,
}
