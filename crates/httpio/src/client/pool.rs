//! Keeps idle connections for later exchanges with the same server.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;

use super::{ClientError, Connection, Request, Response};
use crate::{Limits, turns::ReadTurns};

/// The fraction of a server's idle timeout during which a connection is reused. A request sent
/// close to the end of the timeout may reach the server after it has closed the connection.
const SERVER_IDLE_TIMEOUT_FRACTION: f64 = 0.7;

/// Settings of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSettings {
    /// Limits of each connection.
    pub limits: Limits,
    /// Maximum number of idle connections kept for one server.
    pub idle_per_server: usize,
    /// How long a connection may be idle before it is closed rather than reused.
    pub idle_age_ms: u64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings { limits: Limits::default(), idle_per_server: 64, idle_age_ms: 20_000 }
    }
}

/// Opens connections and keeps the idle ones for reuse.
#[derive(Clone)]
pub struct Pool {
    settings: PoolSettings,
    /// Of all connections of the pool.
    turns: ReadTurns,
    idle: Rc<Idle>,
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(settings: PoolSettings, clock: Rc<dyn Clock>) -> Pool {
        let turns = ReadTurns::default();
        Pool {
            settings,
            turns,
            idle: Rc::new(Idle { settings, clock, stacks: RefCell::default() }),
        }
    }

    /// Sends a request on an idle connection, or on a new one if none is idle.
    ///
    /// # Errors
    /// With the stage that the exchange had reached. The pool never retries a request, since only
    /// the caller knows whether it may be repeated.
    pub async fn send(&self, addr: SocketAddr, request: Request) -> Result<Response, ClientError> {
        match self.idle.take(addr) {
            Some(connection) => self.send_on(connection, request).await,
            None => self.send_on_new_connection(addr, request).await,
        }
    }

    /// Sends a request on a new connection.
    ///
    /// # Errors
    /// As for [`Pool::send`].
    pub async fn send_on_new_connection(
        &self,
        addr: SocketAddr,
        request: Request,
    ) -> Result<Response, ClientError> {
        let turns = self.turns.clone();
        let connection = Connection::open_with(addr, self.settings.limits, turns).await?;
        self.send_on(connection, request).await
    }

    /// Closes the idle connections to a server, for example after one of them has timed out.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.stacks.borrow_mut().remove(&addr);
    }

    /// The number of idle connections to a server.
    #[must_use]
    pub fn idle_count(&self, addr: SocketAddr) -> usize {
        self.idle.stacks.borrow().get(&addr).map_or(0, Vec::len)
    }

    async fn send_on(
        &self,
        connection: Connection,
        request: Request,
    ) -> Result<Response, ClientError> {
        let mut response = connection.send(request).await?;
        response.body.attach_pool(Rc::downgrade(&self.idle));
        Ok(response)
    }
}

/// The idle connections of a pool.
pub(super) struct Idle {
    settings: PoolSettings,
    clock: Rc<dyn Clock>,
    stacks: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

impl Idle {
    /// Takes the most recently used connection, which intermediate network devices are least likely
    /// to have dropped.
    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut stacks = self.stacks.borrow_mut();
        let stack = stacks.get_mut(&addr)?;
        while let Some(mut idle) = stack.pop() {
            if self.is_unexpired(&idle) && idle.connection.is_reusable() {
                return Some(idle.connection);
            }
        }
        None
    }

    pub(super) fn put(&self, mut connection: Connection) {
        connection.reused = true;
        let mut stacks = self.stacks.borrow_mut();
        let stack = stacks.entry(connection.addr()).or_default();
        stack.retain(|it| self.is_unexpired(it));
        if stack.len() < self.settings.idle_per_server {
            stack.push(IdleConnection { connection, idle_since: self.clock.now() });
        }
    }

    fn is_unexpired(&self, idle: &IdleConnection) -> bool {
        let age = self.clock.now().saturating_duration_since(idle.idle_since);
        let server_timeout =
            idle.connection.server_idle_timeout.map(|it| it.mul_f64(SERVER_IDLE_TIMEOUT_FRACTION));
        let idle_timeout = Duration::from_millis(self.settings.idle_age_ms);
        age < server_timeout.map_or(idle_timeout, |it| it.min(idle_timeout))
    }
}

impl std::fmt::Debug for Idle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Idle").finish_non_exhaustive()
    }
}
