//! [`Pool`]: idle connections to endpoints, for reuse by later calls.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use caraway_types::EndpointId;
use caraway_wire::CallError;
use tokio::time::Instant;

use crate::{ConnectLimits, Link};

/// Timeouts of the connections in a [`Pool`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimits {
    /// Timeouts of new connections.
    pub connect: ConnectLimits,
    /// Idle timeout of connections to endpoints that announce none.
    pub idle: Duration,
    /// Fraction of an announced idle timeout after which a connection is no longer used.
    pub idle_part: f64,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            connect: ConnectLimits::default(),
            // Common servers close idle connections after 5 s or more.
            idle: Duration::from_secs(4),
            // The rest is a margin for clock differences and network delay.
            idle_part: 0.8,
        }
    }
}

/// Idle connections of one thread, by endpoint. Clones share the connections.
///
/// The most recently used connection is reused first, so that surplus connections expire and are
/// closed.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    limits: PoolLimits,
    idle: Rc<RefCell<HashMap<EndpointId, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    link: Link,
    addr: SocketAddr,
    expires_at: Instant,
}

/// A connection taken from a pool. [`Pool::put`] returns it; dropping it closes it.
#[derive(Debug)]
pub struct Pooled {
    /// The connection.
    pub link: Link,
    /// Whether an earlier call used it.
    pub reused: bool,
    addr: SocketAddr,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(limits: PoolLimits) -> Self {
        Self {
            limits,
            idle: Rc::default(),
        }
    }

    /// Takes an idle connection to `endpoint`, or opens one to `addr` if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the connection is not established in time.
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

    /// Opens a new connection, even if one is idle.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the connection is not established in time.
    pub async fn open(&self, addr: SocketAddr) -> Result<Pooled, CallError> {
        let link = Link::connect(addr, &self.limits.connect).await?;
        Ok(Pooled {
            link,
            reused: false,
            addr,
        })
    }

    /// Returns a connection to the pool after its response was read completely; `announced` is the
    /// idle timeout that the endpoint announced, if any.
    pub fn put(&self, endpoint: &EndpointId, pooled: Pooled, announced: Option<Duration>) {
        let usable = announced.map(|a| a.mul_f64(self.limits.idle_part));
        let timeout = usable.unwrap_or(self.limits.idle);
        let idle = Idle {
            link: pooled.link,
            addr: pooled.addr,
            expires_at: Instant::now() + timeout,
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

    /// Closes the connections whose idle timeout has expired.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|i| i.expires_at > now && i.link.is_ready());
            !list.is_empty()
        });
    }

    /// Returns the number of idle connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Returns whether no connection is idle.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn take_idle(&self, endpoint: &EndpointId, addr: SocketAddr) -> Option<Link> {
        let mut all = self.idle.borrow_mut();
        let list = all.get_mut(endpoint)?;
        let now = Instant::now();
        while let Some(idle) = list.pop() {
            if idle.addr == addr && idle.expires_at > now && idle.link.is_ready() {
                return Some(idle.link);
            }
        }
        None
    }
}
