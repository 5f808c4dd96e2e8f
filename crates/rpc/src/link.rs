//! A connection that is replaced when it breaks or goes silent.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use futures::channel::oneshot;

use crate::{ByteCounters, Connection, ControlClient, RpcError, dial};

/// How a link is kept.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// The control VMs, the preferred one first.
    pub addrs: Vec<SocketAddr>,
    /// How long a connection may take to be made, in milliseconds.
    pub connect_timeout_ms: u64,
    /// The time between two heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// How long a heartbeat may stay unanswered, in milliseconds.
    pub heartbeat_timeout_ms: u64,
    /// The pause after a round in which no address answered, in milliseconds.
    pub retry_pause_ms: u64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            addrs: Vec::new(),
            connect_timeout_ms: 500,
            heartbeat_interval_ms: 2000,
            heartbeat_timeout_ms: 1500,
            retry_pause_ms: 200,
        }
    }
}

/// A handle on the current connection; clones share it.
#[derive(Clone)]
pub struct Link {
    current: Rc<RefCell<Option<Connection>>>,
    addrs: Rc<RefCell<Vec<SocketAddr>>>,
    leave: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    counters: ByteCounters,
}

impl Link {
    /// Starts keeping a connection in the background, until every handle is dropped.
    pub fn start(settings: LinkSettings) -> Link {
        let addrs = Rc::new(RefCell::new(settings.addrs.clone()));
        let (leave, counters) = (Rc::default(), ByteCounters::default());
        let link = Link { current: Rc::default(), addrs, leave, counters };
        let keeper = Keeper {
            settings,
            current: Rc::downgrade(&link.current),
            addrs: link.addrs.clone(),
            leave: link.leave.clone(),
            counters: link.counters.clone(),
        };
        monoio::spawn(keeper.run());
        link
    }

    /// The calls of the control VM that is connected now.
    ///
    /// # Errors
    ///
    /// If there is no connection that answers heartbeats.
    pub fn client(&self) -> Result<ControlClient, RpcError> {
        let current = self.current.borrow();
        current.as_ref().map(|it| it.client.clone()).ok_or(RpcError::NotConnected)
    }

    /// The addresses that are tried, the preferred one first.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.addrs.borrow().clone()
    }

    /// Replaces the addresses that are tried from the next connection on.
    pub fn set_addrs(&self, addrs: Vec<SocketAddr>) {
        self.addrs.replace(addrs);
    }

    /// Gives the present connection up for one to another address, if there is one.
    pub fn fail_over(&self) {
        let current = self.current.borrow().as_ref().map(|it| it.client.addr());
        if let Some(current) = current {
            let mut addrs = self.addrs.borrow_mut();
            addrs.retain(|it| *it != current);
            addrs.push(current);
        }
        if let Some(leave) = self.leave.borrow_mut().take() {
            // A keeper that has just lost the connection needs no word.
            let _ = leave.send(());
        }
    }

    /// Bytes over all connections of this link.
    pub fn counters(&self) -> &ByteCounters {
        &self.counters
    }
}

struct Keeper {
    settings: LinkSettings,
    current: Weak<RefCell<Option<Connection>>>,
    addrs: Rc<RefCell<Vec<SocketAddr>>>,
    leave: Rc<RefCell<Option<oneshot::Sender<()>>>>,
    counters: ByteCounters,
}

impl Keeper {
    /// Each round starts at the preferred address again, so that a link comes home after a repair
    /// as soon as its present connection ends.
    async fn run(self) {
        while self.is_wanted() {
            let addrs = self.addrs.borrow().clone();
            for addr in addrs {
                if self.connect(addr).await {
                    self.beat().await;
                    break;
                }
            }
            monoio::time::sleep(Duration::from_millis(self.settings.retry_pause_ms)).await;
        }
    }

    fn is_wanted(&self) -> bool {
        self.current.strong_count() > 0
    }

    async fn connect(&self, addr: SocketAddr) -> bool {
        let timeout = Duration::from_millis(self.settings.connect_timeout_ms);
        let Ok(connection) = dial(addr, timeout, &self.counters).await else { return false };
        if connection.client.ping(timeout).await.is_err() {
            return false;
        }
        self.replace(Some(connection));
        true
    }

    /// Gives the connection up when a heartbeat stays unanswered. No heartbeat is sent in an
    /// interval in which another call was answered.
    async fn beat(&self) {
        let interval = Duration::from_millis(self.settings.heartbeat_interval_ms);
        let timeout = Duration::from_millis(self.settings.heartbeat_timeout_ms);
        let (leave, mut left) = oneshot::channel();
        self.leave.replace(Some(leave));
        while let Some(client) = self.client() {
            let before = client.answers();
            if monoio::time::timeout(interval, &mut left).await.is_ok() {
                break;
            }
            let is_proven = client.answers() > before;
            if !is_proven && client.ping(timeout).await.is_err() {
                break;
            }
        }
        self.replace(None);
    }

    fn client(&self) -> Option<ControlClient> {
        let current = self.current.upgrade()?;
        current.borrow().as_ref().map(|it| it.client.clone())
    }

    fn replace(&self, connection: Option<Connection>) {
        if let Some(current) = self.current.upgrade() {
            let _previous = current.replace(connection);
        }
    }
}
