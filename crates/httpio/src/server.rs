//! Serves HTTP/1.1 on a listener: keep-alive, one request at a time on a connection.
//!
//! A stop comes in two steps, so that a balancer has time to look elsewhere. While draining, every
//! reply asks the caller to close its connection; on closing, the listener and the idle
//! connections are closed and whatever is in flight is finished.

mod connection;
mod reply;
mod request;

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use futures::{
    FutureExt, StreamExt,
    channel::mpsc,
    future::{FusedFuture, LocalBoxFuture},
    pin_mut, select_biased,
};
use http::StatusCode;
use monoio::{
    net::{ListenerOpts, TcpListener, TcpStream},
    time,
};

use self::connection::Connection;
pub use self::{
    reply::{CallerDisconnected, Reply, StreamSender},
    request::Request,
};
use crate::{Limits, signal::Signal};

/// Time from a failed accept to the next one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the requests of all connections of a server.
pub trait Handler {
    /// Answers one request. The future is run to its end even when the caller has gone.
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply>;

    /// Words the refusal of a request that could not be read; the connection is closed after it.
    fn refuse(&self, status: StatusCode, remedy: &str) -> Reply {
        Reply::typed(status, "text/plain", remedy.to_owned().into())
    }
}

impl<F> Handler for F
where
    F: Fn(Request) -> LocalBoxFuture<'static, Reply>,
{
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        self(request)
    }
}

/// The two steps of a graceful stop.
#[derive(Debug, Clone)]
pub struct StopSignals {
    /// Once raised, replies ask the callers to close their connections.
    pub draining: Signal,
    /// Once raised, no connection is accepted and idle ones are closed.
    pub closing: Signal,
}

impl Default for StopSignals {
    fn default() -> Self {
        StopSignals { draining: Signal::never(), closing: Signal::never() }
    }
}

/// Settings of a server.
#[derive(Debug, Clone, Default)]
pub struct ServerSettings {
    /// Bounds of each connection.
    pub limits: LiveLimits,
    /// Bound on the open connections.
    pub connections: ConnectionBound,
}

/// Bounds that may change while the server runs; a connection goes by those in force when its next
/// request begins. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct LiveLimits(Rc<Cell<Limits>>);

impl From<Limits> for LiveLimits {
    fn from(limits: Limits) -> Self {
        LiveLimits(Rc::new(Cell::new(limits)))
    }
}

impl LiveLimits {
    /// The bounds in force.
    #[must_use]
    pub fn get(&self) -> Limits {
        self.0.get()
    }

    /// Replaces the bounds.
    pub fn set(&self, limits: Limits) {
        self.0.set(limits);
    }
}

/// The most connections that a server holds open; it accepts no more until one closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBound(pub usize);

impl Default for ConnectionBound {
    fn default() -> Self {
        ConnectionBound(4_096)
    }
}

/// Binds a listener whose port no other process may share.
///
/// # Errors
/// Those of the system, such as an address in use.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    // With port reuse, which is the library's default, two daemons started by mistake on one
    // port would split its connections without a word.
    TcpListener::bind_with_config(addr, &ListenerOpts::new().reuse_port(false))
}

/// Serves until `stop.closing` is raised and everything in flight has been answered.
pub async fn serve(
    listener: TcpListener,
    settings: ServerSettings,
    stop: StopSignals,
    handler: Rc<dyn Handler>,
) {
    let mut slots = Slots::new(settings.connections);
    let server = Server { limits: settings.limits, stop: stop.clone(), handler };
    let closing = stop.closing.raised().fuse();
    pin_mut!(closing);
    while let Some(accepted) = accept(&mut slots, &listener, &mut closing).await {
        match accepted {
            Ok((stream, peer)) => server.spawn(stream, peer, slots.take()),
            // Without descriptors left, the next accept would fail at once and for ever, and no
            // other task would get a turn to close a connection.
            Err(_) => time::sleep(ACCEPT_PAUSE).await,
        }
    }
    // Connections whose handshake was over when the stop came are served too.
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        server.spawn(stream, peer, slots.take());
    }
    drop(listener);
    slots.all_freed().await;
}

/// Accepts the next connection, or nothing once `closing` is over.
async fn accept(
    slots: &mut Slots,
    listener: &TcpListener,
    mut closing: &mut (impl FusedFuture<Output = ()> + Unpin),
) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    let accepted = async {
        slots.one_free().await;
        listener.accept().await
    }
    .fuse();
    pin_mut!(accepted);
    select_biased! {
        () = closing => None,
        accepted = accepted => Some(accepted),
    }
}

struct Server {
    limits: LiveLimits,
    stop: StopSignals,
    handler: Rc<dyn Handler>,
}

impl Server {
    fn spawn(&self, stream: TcpStream, peer: SocketAddr, slot: Slot) {
        let connection = Connection::new(
            stream,
            peer,
            self.limits.clone(),
            self.stop.clone(),
            Rc::clone(&self.handler),
        );
        monoio::spawn(async move {
            connection.run().await;
            drop(slot);
        });
    }
}

/// Counts the open connections.
struct Slots {
    bound: usize,
    taken: usize,
    freed: mpsc::UnboundedReceiver<()>,
    free: mpsc::UnboundedSender<()>,
}

/// Held by one connection while it is open.
struct Slot(mpsc::UnboundedSender<()>);

impl Slots {
    fn new(bound: ConnectionBound) -> Slots {
        // At most one message for each open connection waits in the channel.
        let (free, freed) = mpsc::unbounded();
        Slots { bound: bound.0, taken: 0, freed, free }
    }

    fn take(&mut self) -> Slot {
        self.taken += 1;
        Slot(self.free.clone())
    }

    async fn one_free(&mut self) {
        while self.freed.try_recv().is_ok() {
            self.taken -= 1;
        }
        while self.taken >= self.bound {
            self.freed.next().await;
            self.taken -= 1;
        }
    }

    async fn all_freed(&mut self) {
        while self.taken > 0 {
            self.freed.next().await;
            self.taken -= 1;
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        // The receiver goes first only when the whole server is dropped.
        let _ = self.0.unbounded_send(());
    }
}
