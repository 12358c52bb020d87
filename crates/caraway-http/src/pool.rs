//! [`Pool`]: idle connections to endpoints, for reuse by later calls.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use caraway_types::EndpointId;
use caraway_wire::CallError;
use tokio::time::Instant;

use crate::{ConnectTimeouts, Connection};

/// Timeouts of the connections in a [`Pool`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolTimeouts {
    /// Timeouts of new connections.
    pub connect: ConnectTimeouts,
    /// Idle timeout of connections to endpoints that announce none.
    pub idle: Duration,
    /// Fraction of an announced idle timeout after which a connection is no longer used.
    pub idle_fraction: f64,
}

impl Default for PoolTimeouts {
    fn default() -> Self {
        Self {
            connect: ConnectTimeouts::default(),
            // Common servers close idle connections after 5 s or more.
            idle: Duration::from_secs(4),
            // The rest is a margin for clock differences and network delay.
            idle_fraction: 0.8,
        }
    }
}

/// Longest time for which an idle connection is kept, whatever idle timeout its endpoint announces.
const MAX_IDLE: Duration = Duration::from_hours(1);

/// Idle connections of one thread, by endpoint. Clones share the connections.
///
/// The most recently used connection is reused first, so that surplus connections expire and are
/// closed.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    timeouts: PoolTimeouts,
    idle: Rc<RefCell<HashMap<EndpointId, Vec<IdleConnection>>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    addr: SocketAddr,
    expires_at: Instant,
}

/// A connection taken from a pool. [`Pool::put`] returns it; dropping it closes it.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// Whether an earlier call used it.
    pub reused: bool,
    addr: SocketAddr,
}

impl IdleConnection {
    /// Returns whether a request to `addr` can be sent on it. On a connection that has ended, it would be
    /// in doubt and might not be repeated.
    fn is_usable(&self, addr: SocketAddr, now: Instant) -> bool {
        let is_valid = self.addr == addr && self.expires_at > now;
        is_valid && self.connection.is_ready() && !self.connection.has_ended()
    }
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(timeouts: PoolTimeouts) -> Self {
        Self {
            timeouts,
            idle: Rc::default(),
        }
    }

    /// Takes an idle connection to `endpoint`, or opens one to `addr` if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the connection is not established in time.
    pub async fn take(
        &self,
        endpoint: &EndpointId,
        addr: SocketAddr,
    ) -> Result<PooledConnection, CallError> {
        if let Some(connection) = self.take_idle(endpoint, addr) {
            return Ok(PooledConnection {
                connection,
                reused: true,
                addr,
            });
        }
        self.open(addr).await
    }

    /// Returns whether an idle connection to `endpoint` can be taken.
    #[must_use]
    pub fn has_idle(&self, endpoint: &EndpointId, addr: SocketAddr) -> bool {
        let all = self.idle.borrow();
        let now = Instant::now();
        all.get(endpoint)
            .is_some_and(|list| list.iter().any(|idle| idle.is_usable(addr, now)))
    }

    /// Opens a new connection, even if one is idle.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::NotSent`] if the connection is not established in time.
    pub async fn open(&self, addr: SocketAddr) -> Result<PooledConnection, CallError> {
        let connection = Connection::connect(addr, &self.timeouts.connect).await?;
        Ok(PooledConnection {
            connection,
            reused: false,
            addr,
        })
    }

    /// Returns a connection to the pool after its response was read completely; `announced` is the
    /// idle timeout that the endpoint announced, if any.
    pub fn put(
        &self,
        endpoint: &EndpointId,
        pooled: PooledConnection,
        announced: Option<Duration>,
    ) {
        let usable = announced.map(|a| a.min(MAX_IDLE).mul_f64(self.timeouts.idle_fraction));
        let timeout = usable.unwrap_or(self.timeouts.idle);
        let idle = IdleConnection {
            connection: pooled.connection,
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
            list.retain(|i| i.expires_at > now && i.connection.is_ready());
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

    fn take_idle(&self, endpoint: &EndpointId, addr: SocketAddr) -> Option<Connection> {
        let mut all = self.idle.borrow_mut();
        let list = all.get_mut(endpoint)?;
        let now = Instant::now();
        while let Some(idle) = list.pop() {
            if idle.is_usable(addr, now) {
                return Some(idle.connection);
            }
        }
        None
    }
}
