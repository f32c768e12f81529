//! Bounds the memory that the bodies of requests and responses take.

use std::{cell::Cell, rc::Rc};

/// Bodies may take the process's memory limit divided by this number.
const MEMORY_DIVISOR: usize = 4;

/// The memory that bodies may take has been used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("bodies exceed the memory limit")]
pub(crate) struct OutOfMemory;

/// Memory for the bodies of one process, counted as they arrive.
#[derive(Debug)]
pub(crate) struct MemoryBudget {
    limit_bytes: usize,
    used_bytes: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget for a process with the given memory limit.
    pub(crate) fn new(process_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            limit_bytes: process_bytes / MEMORY_DIVISOR,
            used_bytes: Cell::new(0),
        })
    }

    /// Returns the memory that all bodies together may take.
    pub(crate) fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    fn release(&self, bytes: usize) {
        let used_bytes = self.used_bytes.get();
        self.used_bytes.set(used_bytes.saturating_sub(bytes));
    }

    /// Returns a reservation of no memory, which can grow.
    pub(crate) fn empty_reservation(self: &Rc<Self>) -> MemoryReservation {
        MemoryReservation {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Reserves memory until the reservation is dropped.
    ///
    /// # Errors
    /// [`OutOfMemory`] if less is left.
    pub(crate) fn reserve(self: &Rc<Self>, bytes: usize) -> Result<MemoryReservation, OutOfMemory> {
        let mut reservation = self.empty_reservation();
        reservation.grow(bytes)?;
        Ok(reservation)
    }
}

/// Memory counted against a [`MemoryBudget`], released on drop.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves more memory.
    ///
    /// # Errors
    /// [`OutOfMemory`] if less is left; the reservation is then unchanged.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), OutOfMemory> {
        let used_bytes = self.budget.used_bytes.get() + bytes;
        if used_bytes > self.budget.limit_bytes {
            return Err(OutOfMemory);
        }
        self.budget.used_bytes.set(used_bytes);
        self.bytes += bytes;
        Ok(())
    }

    /// Gives back a part of the memory.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.budget.release(bytes);
    }

    /// Returns whether at least the memory of all bodies divided by `divisor` is free.
    pub(crate) fn leaves_free(&self, divisor: usize) -> bool {
        let budget = &self.budget;
        let free_bytes = budget.limit_bytes.saturating_sub(budget.used_bytes.get());
        free_bytes >= budget.limit_bytes / divisor
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
