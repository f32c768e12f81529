//! Interfaces to the platform: table service, object store, list of VMs and clock.
//!
//! Each interface (port) is a plain struct of functions, so that a test or an adapter for
//! another platform can implement it without defining a type. The module [`http`] is the
//! adapter for the HTTP interface of the platform stand-in; an adapter for the real platform
//! is one more module of this kind.

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

/// A boxed future that is not `Send` and runs on the thread that created it.
pub type LocalBoxFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// A function of a port: takes an argument of type `A` and returns a future of the result.
pub type Call<A, R> = Rc<dyn Fn(A) -> LocalBoxFuture<Result<R, PlatformError>>>;

/// All ports of one platform.
#[derive(Clone)]
pub struct Platform {
    /// The transactional table service.
    pub table: Table,
    /// The object store.
    pub objects: Objects,
    /// The list of VMs.
    pub vms: Vms,
}
