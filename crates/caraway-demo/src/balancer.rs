//! [`Balancer`]: which instance takes a request, as the platform's balancer decides.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
};

/// The instances that take new requests.
#[derive(Debug)]
pub(crate) struct Balancer {
    addrs: Vec<SocketAddr>,
    closed: RefCell<Vec<usize>>,
    next: Cell<usize>,
}

impl Balancer {
    /// Makes a balancer over all instances.
    pub(crate) fn new(addrs: Vec<SocketAddr>) -> Self {
        Self {
            addrs,
            closed: RefCell::default(),
            next: Cell::default(),
        }
    }

    /// Sends no further request to an instance.
    pub(crate) fn close(&self, entry: usize) {
        self.closed.borrow_mut().push(entry);
    }

    /// Returns the instance for a request that would go to `wanted`, and its address.
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
