//! [`MemoryBudget`]: a limit on the memory for message bodies that are read concurrently.

use std::{cell::Cell, rc::Rc};

/// Leading bytes of each body that are not counted, so that answers of usual size can be read even
/// while long ones use up the budget.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// A shared limit on the memory for the bodies that one thread reads concurrently. Clones share the
/// limit.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    available: Rc<Cell<usize>>,
}

impl Default for MemoryBudget {
    /// Creates a budget without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl MemoryBudget {
    /// Creates a budget of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            available: Rc::new(Cell::new(bytes)),
        }
    }

    /// Returns the number of unused bytes.
    #[must_use]
    pub fn available(&self) -> usize {
        self.available.get()
    }

    /// Creates an empty reservation for one body.
    pub(crate) fn reserve(&self) -> Reservation<'_> {
        Reservation {
            budget: self,
            reserved: 0,
        }
    }
}

/// Bytes that one body takes from a [`MemoryBudget`]; returned when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation<'a> {
    budget: &'a MemoryBudget,
    reserved: usize,
}

impl Reservation<'_> {
    /// Extends the reservation to a body of `bytes` bytes. Returns false and changes nothing if the
    /// budget does not suffice.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes
            .saturating_sub(UNCOUNTED_BYTES)
            .saturating_sub(self.reserved);
        let Some(available) = self.budget.available.get().checked_sub(more) else {
            return false;
        };
        self.budget.available.set(available);
        self.reserved += more;
        true
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.budget
            .available
            .set(self.budget.available.get() + self.reserved);
    }
}
