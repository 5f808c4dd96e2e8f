//! A connection that is replaced when it breaks or stops answering heartbeats.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use futures::{FutureExt, channel::oneshot, future::Shared, pin_mut, select_biased};

use crate::{ByteCounters, Connection, ControlClient, RpcError, dial};

/// Settings of a link.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// The addresses of the control VMs, in order of preference.
    pub addrs: Vec<SocketAddr>,
    /// The timeout of connecting and of the first heartbeat, in milliseconds.
    pub connect_timeout_ms: u64,
    /// The time between two heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// The timeout of a heartbeat, in milliseconds.
    pub heartbeat_timeout_ms: u64,
    /// The pause before the addresses are tried again, in milliseconds.
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

/// A handle to the current connection. Clones share the same connection.
#[derive(Clone)]
pub struct Link {
    current: Rc<RefCell<Option<Connection>>>,
    addrs: Rc<RefCell<Vec<SocketAddr>>>,
    requests: Rc<RefCell<Option<oneshot::Sender<Request>>>>,
    counters: ByteCounters,
}

/// What the task of a link is asked to do with the current connection.
#[derive(Debug, Clone, Copy)]
enum Request {
    FailOver,
    MoveTo(SocketAddr),
}

/// What happens to the current connection.
enum Event {
    Requested(Request),
    Ended,
    IntervalPassed,
}

impl Link {
    /// Starts a task that maintains a connection until all handles are dropped.
    pub fn start(settings: LinkSettings) -> Link {
        let addrs = Rc::new(RefCell::new(settings.addrs.clone()));
        let (requests, counters) = (Rc::default(), ByteCounters::default());
        let link = Link { current: Rc::default(), addrs, requests, counters };
        let task = LinkTask {
            settings,
            current: Rc::downgrade(&link.current),
            addrs: link.addrs.clone(),
            requests: link.requests.clone(),
            counters: link.counters.clone(),
        };
        monoio::spawn(task.run());
        link
    }

    /// The client of the current connection.
    ///
    /// # Errors
    ///
    /// If there is no connection that answers heartbeats.
    pub fn client(&self) -> Result<ControlClient, RpcError> {
        let current = self.current.borrow();
        current.as_ref().map(|it| it.client.clone()).ok_or(RpcError::NotConnected)
    }

    /// The addresses of the control VMs, in order of preference.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        self.addrs.borrow().clone()
    }

    /// Replaces the addresses. The current connection stays open.
    pub fn set_addrs(&self, addrs: Vec<SocketAddr>) {
        self.addrs.replace(addrs);
    }

    /// Closes the current connection, if there is one, and moves its address to the end of the
    /// list, so that the other addresses are tried first.
    pub fn fail_over(&self) {
        let current = self.current.borrow().as_ref().map(|it| it.client.addr());
        if let Some(current) = current {
            let mut addrs = self.addrs.borrow_mut();
            addrs.retain(|it| *it != current);
            addrs.push(current);
        }
        self.request(Request::FailOver);
    }

    /// Makes `addr` the first address, and replaces the current connection once there is one to `addr`.
    pub fn move_to(&self, addr: SocketAddr) {
        let mut addrs = self.addrs.borrow_mut();
        addrs.retain(|it| *it != addr);
        addrs.insert(0, addr);
        drop(addrs);
        self.request(Request::MoveTo(addr));
    }

    /// Whether there are handles beside this one and the task's.
    pub fn has_other_handles(&self) -> bool {
        Rc::strong_count(&self.current) > 1
    }

    fn request(&self, request: Request) {
        if let Some(sender) = self.requests.borrow_mut().take() {
            // Sending fails if the task has just lost the connection by itself.
            let _ = sender.send(request);
        }
    }

    /// The byte counts over all connections of this link.
    pub fn counters(&self) -> &ByteCounters {
        &self.counters
    }
}

/// Maintains the connection of a link.
struct LinkTask {
    settings: LinkSettings,
    current: Weak<RefCell<Option<Connection>>>,
    addrs: Rc<RefCell<Vec<SocketAddr>>>,
    requests: Rc<RefCell<Option<oneshot::Sender<Request>>>>,
    counters: ByteCounters,
}

impl LinkTask {
    /// Connects and reconnects until all handles are dropped. Each attempt starts at the preferred
    /// address, so that a link returns to it after a repair once its current connection ends.
    async fn run(self) {
        while self.has_handles() {
            let addrs = self.addrs.borrow().clone();
            for addr in addrs {
                if self.connect(addr).await {
                    self.send_heartbeats().await;
                    break;
                }
            }
            monoio::time::sleep(Duration::from_millis(self.settings.retry_pause_ms)).await;
        }
    }

    fn has_handles(&self) -> bool {
        self.current.strong_count() > 0
    }

    /// Replaces the current connection by one to `addr`; returns whether that succeeded.
    async fn connect(&self, addr: SocketAddr) -> bool {
        let timeout = Duration::from_millis(self.settings.connect_timeout_ms);
        let Ok(connection) = dial(addr, timeout, &self.counters).await else { return false };
        if connection.client.ping(timeout).await.is_err() {
            return false;
        }
        self.replace(Some(connection));
        true
    }

    /// Sends heartbeats until one fails, the connection ends or a fail-over is requested, and then drops
    /// the connection. No heartbeat is sent after an interval in which another call was answered.
    async fn send_heartbeats(&self) {
        let timeout = Duration::from_millis(self.settings.heartbeat_timeout_ms);
        let mut requested = self.next_request();
        while let Some((client, ended)) = self.current() {
            let before = client.answered_calls();
            match self.next_event(&mut requested, ended).await {
                Event::Requested(Request::MoveTo(addr)) => {
                    // If this fails, the current connection stays.
                    self.connect(addr).await;
                    requested = self.next_request();
                    continue;
                }
                Event::Requested(Request::FailOver) | Event::Ended => break,
                Event::IntervalPassed => {}
            }
            let had_answers = client.answered_calls() > before;
            if !had_answers && client.ping(timeout).await.is_err() {
                break;
            }
        }
        self.replace(None);
    }

    async fn next_event(
        &self,
        requested: &mut oneshot::Receiver<Request>,
        ended: Shared<oneshot::Receiver<()>>,
    ) -> Event {
        let interval = Duration::from_millis(self.settings.heartbeat_interval_ms);
        let interval = monoio::time::sleep(interval).fuse();
        let mut ended = ended.fuse();
        pin_mut!(interval);
        select_biased! {
            // The sender is dropped with the last handle.
            request = requested.fuse() => request.map_or(Event::Ended, Event::Requested),
            _ = ended => Event::Ended,
            () = interval => Event::IntervalPassed,
        }
    }

    fn next_request(&self) -> oneshot::Receiver<Request> {
        let (sender, receiver) = oneshot::channel();
        self.requests.replace(Some(sender));
        receiver
    }

    fn current(&self) -> Option<(ControlClient, Shared<oneshot::Receiver<()>>)> {
        let current = self.current.upgrade()?;
        current.borrow().as_ref().map(|it| (it.client.clone(), it.ended.clone()))
    }

    fn replace(&self, connection: Option<Connection>) {
        if let Some(current) = self.current.upgrade() {
            let _previous = current.replace(connection);
        }
    }
}
