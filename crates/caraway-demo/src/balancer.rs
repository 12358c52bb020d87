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
    closed: RefCell<Vec<usize>>,
    next: Cell<usize>,
}

impl Balancer {
    /// Creates a balancer over all instances.
    pub(crate) fn new(addrs: Vec<SocketAddr>) -> Self {
        Self {
            addrs,
            closed: RefCell::default(),
            next: Cell::default(),
        }
    }

    /// Excludes an instance from further requests.
    pub(crate) fn close(&self, entry: usize) {
        self.closed.borrow_mut().push(entry);
    }

    /// Returns the index and address of the instance for a request planned for `wanted`.
    ///
    /// If that instance is excluded, the others are tried round-robin. If all are excluded, the
    /// planned one is returned.
    pub(crate) fn choose(&self, wanted: usize) -> (usize, SocketAddr) {
        let closed = self.closed.borrow();
        let mut entry = wanted;
        while closed.contains(&entry) && closed.len() < self.addrs.len() {
            entry = self.next.get() % self.addrs.len();
            self.next.set(self.next.get() + 1);
        }
        (entry, self.addrs[entry])
    }
}
