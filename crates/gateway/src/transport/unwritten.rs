//! What is held for a response until its bytes are written to the socket.

use std::{any::Any, cell::RefCell, fmt, rc::Rc};

/// Something that is released when it is dropped.
pub(crate) type Guard = Box<dyn Any>;

/// Guards of the responses of one connection that the HTTP library has taken but not yet written.
/// Clones hold the same ones, until the last clone is dropped.
#[derive(Clone, Default)]
pub(crate) struct Unwritten(Rc<RefCell<Vec<Guard>>>);

impl Unwritten {
    /// Holds guards until all bytes that the HTTP library has taken so far are written.
    pub(crate) fn hold(&self, guards: Vec<Guard>) {
        self.0.borrow_mut().extend(guards);
    }

    /// Releases all guards, as everything is written.
    pub(super) fn release(&self) {
        // Taken out first, as a guard may do anything when it is dropped.
        let guards = std::mem::take(&mut *self.0.borrow_mut());
        drop(guards);
    }
}

impl fmt::Debug for Unwritten {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Unwritten")
            .field(&self.0.borrow().len())
            .finish()
    }
}
