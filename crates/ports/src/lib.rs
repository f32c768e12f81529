//! Ports to the platform: table service, object store, list of VMs and clock.
//!
//! A port is a plain struct of functions, so that a test or another platform
//! fills it in without a type of its own. [`http`] fills the ports for the
//! platform of the stand-in; the real platform's adapter is one more such file.

mod clock;
mod errors;
pub mod http;
mod objects;
mod table;
mod vms;

pub use clock::Clock;
pub use errors::PlatformError;
pub use objects::Objects;
pub use table::{Condition, Effect, Op, OpResult, Range, Row, Table};
pub use vms::{VmInfo, Vms};

use std::{future::Future, pin::Pin, rc::Rc};

/// A future that stays on its thread.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// One call of a port: its argument, and its result later.
pub type Call<A, R> = Rc<dyn Fn(A) -> LocalBoxFuture<Result<R, PlatformError>>>;

/// The ports of one platform.
#[derive(Clone)]
pub struct Platform {
    /// Transactional table service.
    pub table: Table,
    /// Object store.
    pub objects: Objects,
    /// List of VMs.
    pub vms: Vms,
}
