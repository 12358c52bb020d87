//! [`Pool`]: idle connections to endpoints, each used by one call at a time.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use caraway_types::EndpointId;
use caraway_wire::CallError;
use tokio::time::Instant;

use crate::{ConnectLimits, Link};

/// Sets how a [`Pool`] keeps connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// How new connections are made.
    pub connect: ConnectLimits,
    /// Longest idle time where the endpoint names none.
    pub idle: Duration,
    /// Part of the idle time that an endpoint names for which a connection is used.
    pub idle_part: f64,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            connect: ConnectLimits::default(),
            // Common servers close idle connections after 5 s or more.
            idle: Duration::from_secs(4),
            // Leaves a fifth for the clock and the way.
            idle_part: 0.8,
        }
    }
}

/// Idle connections of one thread, by endpoint.
///
/// The connection that was used last is used next, so that surplus ones grow old and are closed.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    limits: PoolLimits,
    idle: Rc<RefCell<HashMap<EndpointId, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    link: Link,
    addr: SocketAddr,
    until: Instant,
}

/// A connection that goes back to its pool by [`Pool::put`], or is closed when it is dropped.
#[derive(Debug)]
pub struct Pooled {
    /// The connection.
    pub link: Link,
    /// Whether it carried a call before.
    pub reused: bool,
    addr: SocketAddr,
}

impl Pool {
    /// Makes an empty pool.
    #[must_use]
    pub fn new(limits: PoolLimits) -> Self {
        Self {
            limits,
            idle: Rc::default(),
        }
    }

    /// Takes an idle connection to `endpoint` or opens one.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when no connection could be made in time.
    pub async fn take(&self, endpoint: &EndpointId, addr: SocketAddr) -> Result<Pooled, CallError> {
        if let Some(link) = self.take_idle(endpoint, addr) {
            return Ok(Pooled {
                link,
                reused: true,
                addr,
            });
        }
        self.open(addr).await
    }

    /// Opens a connection, whatever is idle.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] when no connection could be made in time.
    pub async fn open(&self, addr: SocketAddr) -> Result<Pooled, CallError> {
        let link = Link::connect(addr, &self.limits.connect).await?;
        Ok(Pooled {
            link,
            reused: false,
            addr,
        })
    }

    /// Gives a connection back after its answer was read whole; `keep` is the idle time that the
    /// endpoint names.
    pub fn put(&self, endpoint: &EndpointId, pooled: Pooled, keep: Option<Duration>) {
        let named = keep.map(|k| k.mul_f64(self.limits.idle_part));
        let keep = named.unwrap_or(self.limits.idle);
        let idle = Idle {
            link: pooled.link,
            addr: pooled.addr,
            until: Instant::now() + keep,
        };
        let mut all = self.idle.borrow_mut();
        if let Some(list) = all.get_mut(endpoint) {
            list.push(idle);
        } else {
            all.insert(endpoint.clone(), vec![idle]);
        }
    }

    /// Closes every idle connection to `endpoint`.
    pub fn forget(&self, endpoint: &EndpointId) {
        self.idle.borrow_mut().remove(endpoint);
    }

    /// Closes the connections that were idle for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|i| i.until > now && i.link.is_ready());
            !list.is_empty()
        });
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Tells whether no connection is idle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn take_idle(&self, endpoint: &EndpointId, addr: SocketAddr) -> Option<Link> {
        let mut all = self.idle.borrow_mut();
        let list = all.get_mut(endpoint)?;
        let now = Instant::now();
        while let Some(idle) = list.pop() {
            if idle.addr == addr && idle.until > now && idle.link.is_ready() {
                return Some(idle.link);
            }
        }
        None
    }
}
