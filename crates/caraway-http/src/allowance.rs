//! [`Allowance`]: a limit on the memory for message bodies that are read concurrently.

use std::{cell::Cell, rc::Rc};

/// Leading bytes of each body that are not counted, so that answers of usual size can be read even
/// while long ones use up the allowance.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// A shared limit on the memory for the bodies that one thread reads concurrently. Clones share the
/// limit.
#[derive(Clone, Debug)]
pub struct Allowance {
    left: Rc<Cell<usize>>,
}

impl Default for Allowance {
    /// Creates an allowance without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Allowance {
    /// Creates an allowance of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            left: Rc::new(Cell::new(bytes)),
        }
    }

    /// Returns the number of unused bytes.
    #[must_use]
    pub fn left(&self) -> usize {
        self.left.get()
    }

    /// Creates an empty reservation for one body.
    pub(crate) fn reserve(&self) -> Reservation<'_> {
        Reservation {
            allowance: self,
            reserved: 0,
        }
    }
}

/// Bytes that one body takes from an [`Allowance`]; returned when it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation<'a> {
    allowance: &'a Allowance,
    reserved: usize,
}

impl Reservation<'_> {
    /// Extends the reservation to a body of `bytes` bytes. Returns false and changes nothing if the
    /// allowance does not suffice.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes
            .saturating_sub(UNCOUNTED_BYTES)
            .saturating_sub(self.reserved);
        let Some(left) = self.allowance.left.get().checked_sub(more) else {
            return false;
        };
        self.allowance.left.set(left);
        self.reserved += more;
        true
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.allowance
            .left
            .set(self.allowance.left.get() + self.reserved);
    }
}
