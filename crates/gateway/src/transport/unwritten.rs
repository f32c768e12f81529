//! What is held for a response until its bytes are written to the socket.

use {
    std::{
        any::Any,
        cell::{Cell, RefCell},
        fmt,
        rc::Rc,
    },
    tokio::time::Instant,
};

/// Something that is released when it is dropped.
pub(crate) type Guard = Box<dyn Any>;

/// Guards of the responses of one connection that the HTTP library has taken but not yet written.
/// Clones hold the same ones, until the last clone is dropped.
#[derive(Clone, Default)]
pub(crate) struct Unwritten(Rc<State>);

#[derive(Default)]
struct State {
    guards: RefCell<Vec<Guard>>,
    deadline: Cell<Option<Instant>>,
}

impl Unwritten {
    /// Holds guards until all bytes that the HTTP library has taken so far are written.
    pub(crate) fn hold(&self, guards: Vec<Guard>) {
        self.0.guards.borrow_mut().extend(guards);
    }

    /// Releases all guards, as everything is written.
    pub(super) fn release(&self) {
        // Taken out first, as a guard may do anything when it is dropped.
        let guards = std::mem::take(&mut *self.0.guards.borrow_mut());
        drop(guards);
    }

    /// Sets the deadline of the response in progress; `None` if it has none.
    pub(crate) fn set_deadline(&self, deadline: Option<Instant>) {
        self.0.deadline.set(deadline);
    }

    /// Returns after which time a caller that takes nothing is not waited for any longer.
    pub(super) fn deadline(&self) -> Option<Instant> {
        self.0.deadline.get()
    }
}

impl fmt::Debug for Unwritten {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Unwritten")
            .field(&self.0.guards.borrow().len())
            .finish()
    }
}
