//! [`Allowance`]: memory for bodies that are read at the same time.

use std::{cell::Cell, rc::Rc};

/// Bytes of each body that take nothing of the allowance, so that usual answers are read while
/// long ones take all of it.
const FREE_BYTES: usize = 16 << 10;

/// Memory for the bodies that one thread reads at the same time.
#[derive(Clone, Debug)]
pub struct Allowance {
    left: Rc<Cell<usize>>,
}

impl Default for Allowance {
    /// Sets no limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Allowance {
    /// Allows so many bytes in all.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            left: Rc::new(Cell::new(bytes)),
        }
    }

    /// Returns the bytes that are left.
    #[must_use]
    pub fn left(&self) -> usize {
        self.left.get()
    }

    /// Begins with a body.
    pub(crate) fn share(&self) -> Share<'_> {
        Share { of: self, taken: 0 }
    }
}

/// What one body takes of an [`Allowance`], until it is dropped.
#[derive(Debug)]
pub(crate) struct Share<'a> {
    of: &'a Allowance,
    taken: usize,
}

impl Share<'_> {
    /// Takes what a body of so many bytes needs; false when not so much is left.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(FREE_BYTES).saturating_sub(self.taken);
        let Some(left) = self.of.left.get().checked_sub(more) else {
            return false;
        };
        self.of.left.set(left);
        self.taken += more;
        true
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.of.left.set(self.of.left.get() + self.taken);
    }
}
