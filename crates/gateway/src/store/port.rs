//! The interface to the platform's store, which an adapter implements.

use {
    crate::StoreError,
    catalog::{NamedEra, Target},
    customer::Listing,
    route::RouteConfiguration,
    std::{fmt, future::Future, net::SocketAddr, pin::Pin, rc::Rc, time::Duration},
    wire::{Record, Revision},
};

/// The result of a store call, awaited on the same thread.
pub type StoreFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>>>>;

/// Rows of one table: all of them, or those that changed after a known revision.
#[derive(Debug, Clone)]
pub struct VersionedRows {
    /// The rows in the order of their revisions, all of the era that the store names.
    pub records: Vec<Record>,
    /// Revision up to which no change is missing.
    pub revision: Revision,
    /// Era that the store names.
    pub era: NamedEra,
}

impl VersionedRows {
    /// Returns the same rows with the same versions in another era.
    pub(crate) fn in_era(mut self, era: u64) -> Self {
        let moved = |revision: Revision| Revision::new(era, revision.version());
        self.revision = moved(self.revision);
        for record in &mut self.records {
            record.revision = moved(record.revision);
        }
        self
    }
}

/// The registration of a VM, by which the other VMs discover it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Registration {
    /// Name, unique among all VMs.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address at which other VMs reach it.
    pub peer_address: SocketAddr,
    /// Address at which callers reach it.
    pub caller_address: SocketAddr,
}

/// The operator's configuration.
#[derive(Clone)]
pub struct Configuration {
    /// Routes, services and limits on callers.
    pub routes: RouteConfiguration,
    /// Customers; `None` if no key is asked of callers.
    pub customers: Option<Listing>,
}

/// Shows the number of customers and none of their keys.
impl fmt::Debug for Configuration {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = self.customers.as_ref().map(|list| list.rows.as_ref());
        formatter
            .debug_struct("Configuration")
            .field("routes", &self.routes)
            .field("customers", &rows.map(|rows| rows.map(Vec::len)))
            .finish()
    }
}

/// A decoded row of the store.
#[derive(Debug, Clone)]
pub enum Change {
    /// A new configuration.
    Routes(Configuration),
    /// A new or updated target.
    Target(Target),
    /// A deleted target, by its identifier.
    TargetDeleted(String),
    /// A row of a target that cannot be decoded; the target is not used.
    TargetInvalid {
        /// Identifier of the target.
        id: String,
        /// What is wrong with the row.
        reason: String,
    },
    /// The start or end of a zone evacuation.
    Evacuation {
        /// Name of the zone.
        zone: String,
        /// Whether the zone receives no new requests.
        active: bool,
    },
    /// A row that the gateway does not use.
    Ignored {
        /// Why it is not used.
        reason: String,
    },
}

/// Reads all rows of a table.
pub type ReadTable = Rc<dyn Fn(String) -> StoreFuture<VersionedRows>>;
/// A call that waits for changes of a table.
#[derive(Debug, Clone)]
pub struct TableWatch {
    /// Name of the table.
    pub table: String,
    /// Revision up to which the changes are known.
    pub after: Revision,
    /// Longest wait for changes.
    pub wait: Duration,
    /// Time after which the call has failed, the wait included.
    pub timeout: Duration,
}

/// Waits for changes of a table. Without any, the result is empty. Fails with [`StoreError::HistoryTruncated`] if the store does not have
/// the changes since the revision. The result may be of another era than the revision; it then
/// says nothing of the changes since.
pub type WatchTable = Rc<dyn Fn(TableWatch) -> StoreFuture<VersionedRows>>;
/// Adds or removes the registration of a VM.
pub type RegisterVm = Rc<dyn Fn(Registration) -> StoreFuture<()>>;
/// Lists the registered VMs.
pub type ListVms = Rc<dyn Fn() -> StoreFuture<Vec<Registration>>>;
/// Decodes a row.
pub type DecodeRecord = Rc<dyn Fn(&Record) -> Change>;

/// The operations of the platform's store that the gateway uses.
#[derive(Clone)]
pub struct Store {
    /// Names of the tables that the gateway watches.
    pub tables: Vec<String>,
    /// Reads all rows of a table.
    pub read_table: ReadTable,
    /// Waits for changes of a table.
    pub watch_table: WatchTable,
    /// Registers this VM.
    pub register_vm: RegisterVm,
    /// Removes the registration of this VM.
    pub unregister_vm: RegisterVm,
    /// Lists the registered VMs.
    pub list_vms: ListVms,
    /// Decodes a row.
    pub decode_record: DecodeRecord,
}
