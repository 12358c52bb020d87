//! [`Balancer`] picks the entry instance for each request, in place of the platform's load
//! balancer.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

/// Entry instances and the ones excluded from new requests.
#[derive(Debug)]
pub(crate) struct Balancer {
    addrs: Vec<SocketAddr>,
    excluded: RefCell<Vec<usize>>,
    next_index: Cell<usize>,
}

impl Balancer {
    /// Creates a balancer over all instances.
    pub(crate) fn new(addrs: Vec<SocketAddr>) -> Self {
        Self {
            addrs,
            excluded: RefCell::default(),
            next_index: Cell::default(),
        }
    }

    /// Excludes an instance from further requests.
    pub(crate) fn exclude(&self, index: usize) {
        self.excluded.borrow_mut().push(index);
    }

    /// Returns the index and address of the instance for a request planned for instance `planned`.
    ///
    /// If that instance is excluded, the others are tried round-robin. If all are excluded, the
    /// planned one is returned.
    pub(crate) fn choose(&self, planned: usize) -> (usize, SocketAddr) {
        let excluded = self.excluded.borrow();
        let mut index = planned;
        while excluded.contains(&index) && excluded.len() < self.addrs.len() {
            index = self.next_index.get() % self.addrs.len();
            self.next_index.set(self.next_index.get() + 1);
        }
        (index, self.addrs[index])
    }
}
