//! Idle connections kept for the next exchange with the same server.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use clock::Clock;

use super::{ClientError, Connection, Request, Response};
use crate::Limits;

/// The part of a server's own idle timeout for which a connection is used again; a request sent
/// close to the end may cross the close.
const TOLD_PART: f64 = 0.7;

/// Settings of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSettings {
    /// Bounds of each connection.
    pub limits: Limits,
    /// The most idle connections kept for one server.
    pub idle_per_server: usize,
    /// How long a connection may be idle before it is closed instead of used.
    pub idle_age_ms: u64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        PoolSettings { limits: Limits::default(), idle_per_server: 64, idle_age_ms: 20_000 }
    }
}

/// Opens connections and keeps those that are idle.
#[derive(Clone)]
pub struct Pool {
    settings: PoolSettings,
    idle: Rc<Idle>,
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(settings: PoolSettings, clock: Rc<dyn Clock>) -> Pool {
        Pool { settings, idle: Rc::new(Idle { settings, clock, stacks: RefCell::default() }) }
    }

    /// Sends a request on an idle connection, or on a new one when there is none.
    ///
    /// # Errors
    /// With the stage that the exchange had come to. Nothing is sent twice here: whether a request
    /// may be repeated is the caller's to know.
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
        let connection = Connection::open(addr, self.settings.limits).await?;
        self.send_on(connection, request).await
    }

    /// Closes the idle connections to a server, as when one of them has gone silent.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.stacks.borrow_mut().remove(&addr);
    }

    /// How many connections to a server are idle.
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
        response.body.return_to(Rc::downgrade(&self.idle));
        Ok(response)
    }
}

/// The idle connections of a pool.
pub(super) struct Idle {
    settings: PoolSettings,
    clock: Rc<dyn Clock>,
    stacks: RefCell<HashMap<SocketAddr, Vec<Entry>>>,
}

struct Entry {
    connection: Connection,
    since: Instant,
}

impl Idle {
    /// Takes the connection used last, which the path between is least likely to have forgotten.
    fn take(&self, addr: SocketAddr) -> Option<Connection> {
        let mut stacks = self.stacks.borrow_mut();
        let stack = stacks.get_mut(&addr)?;
        while let Some(mut entry) = stack.pop() {
            if self.is_young(&entry) && entry.connection.is_quiet() {
                return Some(entry.connection);
            }
        }
        None
    }

    pub(super) fn put(&self, mut connection: Connection) {
        connection.reused = true;
        let mut stacks = self.stacks.borrow_mut();
        let stack = stacks.entry(connection.addr()).or_default();
        stack.retain(|it| self.is_young(it));
        if stack.len() < self.settings.idle_per_server {
            stack.push(Entry { connection, since: self.clock.now() });
        }
    }

    fn is_young(&self, entry: &Entry) -> bool {
        let age = self.clock.now().saturating_duration_since(entry.since);
        let told = entry.connection.idle_max.map(|it| it.mul_f64(TOLD_PART));
        let longest = Duration::from_millis(self.settings.idle_age_ms);
        age < told.map_or(longest, |it| it.min(longest))
    }
}

impl std::fmt::Debug for Idle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Idle").finish_non_exhaustive()
    }
}
