//! The port that an adapter fills in.

use {
    crate::StoreError,
    catalog::Target,
    route::RouteConfiguration,
    std::{future::Future, net::SocketAddr, pin::Pin, rc::Rc, time::Duration},
    wire::Record,
};

/// A result that comes later, on the same thread.
pub type Pending<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>>>>;

/// Rows of one table as of one version.
#[derive(Debug, Clone, Default)]
pub struct Page {
    /// The rows, oldest change first.
    pub records: Vec<Record>,
    /// Version up to which these are all changes.
    pub version: u64,
}

/// A VM as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
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
    TargetGone(String),
    /// The row stands for a target but cannot be used.
    TargetUnreadable {
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
    Unused {
        /// Why it is not used.
        reason: String,
    },
}

/// Reads a whole table.
pub type Read = Rc<dyn Fn(String) -> Pending<Page>>;
/// Waits for changes of a table after a version, at most for a time.
pub type Follow = Rc<dyn Fn(String, u64, Duration) -> Pending<Page>>;
/// Registers a VM.
pub type Register = Rc<dyn Fn(Listed) -> Pending<()>>;
/// Lists the registered VMs.
pub type List = Rc<dyn Fn() -> Pending<Vec<Listed>>>;
/// Says what a row means.
pub type Decode = Rc<dyn Fn(&Record) -> Change>;

/// Calls of the platform's store.
#[derive(Clone)]
pub struct Store {
    /// Tables whose rows the gateway follows.
    pub tables: Vec<String>,
    /// Reads a whole table.
    pub read: Read,
    /// Waits for changes.
    pub follow: Follow,
    /// Registers this VM.
    pub register: Register,
    /// Removes this VM's registration.
    pub unregister: Register,
    /// Lists the registered VMs.
    pub list: List,
    /// Says what a row means.
    pub decode: Decode,
}
