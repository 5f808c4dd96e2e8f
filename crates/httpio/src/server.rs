//! HTTP/1.1 server with keep-alive that handles one request at a time on a connection.
//!
//! The server shuts down in two steps, so that a load balancer has time to choose other servers.
//! While draining, every reply asks the caller to close its connection. On closing, the listener
//! and the idle connections are closed and the requests in flight are completed. A request that has
//! still not arrived completely can be refused later.

mod connection;
mod open_connections;
mod receiving;
mod reply;
mod request;
mod slots;

use std::{cell::Cell, io, net::SocketAddr, rc::Rc, time::Duration};

use derive_more::{Display, Error};
use futures::{
    FutureExt,
    future::{FusedFuture, LocalBoxFuture},
    pin_mut, select_biased,
};
use http::StatusCode;
use monoio::{
    net::{ListenerOpts, TcpListener, TcpStream},
    time,
};

use self::{
    connection::Connection,
    slots::{Slot, Slots},
};
pub use self::{
    open_connections::OpenConnections,
    reply::{CallerDisconnected, Reply, StreamSender},
    request::Request,
};
use crate::{Limits, budget::ByteBudget, signal::Signal, turns::ReadTurns};

/// The connections to a listener that may wait until it accepts them. Each may have bytes that are not read yet.
pub const WAITING_CONNECTIONS_MAX: u16 = 512;

/// The pause between a failed accept and the next one.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Handles the requests of all connections of a server.
pub trait Handler {
    /// Handles one request. The future runs to completion even when the caller disconnects. If it panics,
    /// the connection is closed without a reply, since it is unknown what became of the request.
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply>;

    /// Builds the reply to a request that could not be read. The connection is closed afterwards.
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

/// The steps of a graceful shutdown.
#[derive(Debug, Clone)]
pub struct StopSignals {
    /// Once raised, replies ask callers to close their connections.
    pub draining: Signal,
    /// Once raised, the server accepts no more connections and closes the idle ones.
    pub closing: Signal,
    /// Once raised, the server refuses requests that have not arrived completely.
    pub refusing: Signal,
}

impl Default for StopSignals {
    fn default() -> Self {
        let never = Signal::never;
        StopSignals { draining: never(), closing: never(), refusing: never() }
    }
}

/// Settings of a server.
#[derive(Debug, Clone, Default)]
pub struct ServerSettings {
    /// Limits of each connection.
    pub limits: LiveLimits,
    /// Maximum number of open connections.
    pub connections: ConnectionBound,
    /// Counts the open connections.
    pub open: OpenConnections,
    /// The memory for what callers send, which several servers may share.
    pub memory: ByteBudget,
    /// What a request takes of that memory from its handler on, beside its body.
    pub request_bytes: usize,
}

/// Limits that may change while the server runs. A connection applies the limits in force when it
/// starts to wait for a request, except for the write timeout, which it keeps from its start.
/// Clones share the same limits.
#[derive(Debug, Clone, Default)]
pub struct LiveLimits(Rc<Cell<Limits>>);

impl From<Limits> for LiveLimits {
    fn from(limits: Limits) -> Self {
        LiveLimits(Rc::new(Cell::new(limits)))
    }
}

impl LiveLimits {
    /// The limits in force.
    #[must_use]
    pub fn get(&self) -> Limits {
        self.0.get()
    }

    /// Replaces the limits.
    pub fn set(&self, limits: Limits) {
        self.0.set(limits);
    }
}

/// Maximum number of open connections of a server. At the limit, it ends the connection that has been idle or stalled for
/// longest, and accepts no more until one closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionBound(pub usize);

impl Default for ConnectionBound {
    fn default() -> Self {
        ConnectionBound(4_096)
    }
}

/// What the system keeps of a connection until it is read, in bytes. Without a bound, that grows to megabytes for a
/// connection whose peer sends faster than it is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiveBuffer(pub usize);

impl Default for ReceiveBuffer {
    fn default() -> Self {
        ReceiveBuffer(16 << 10)
    }
}

/// A listener could not be bound.
#[derive(Debug, Display, Error)]
#[display("listen on {addr}")]
pub struct BindError {
    /// The address of the listener.
    pub addr: SocketAddr,
    /// The error of the operating system.
    #[error(source)]
    pub error: io::Error,
}

impl From<BindError> for io::Error {
    fn from(error: BindError) -> io::Error {
        io::Error::new(error.error.kind(), error)
    }
}

/// Binds a listener whose port no other process can share.
///
/// # Errors
/// Errors of the operating system, for example when the address is in use.
pub fn bind(addr: SocketAddr) -> Result<TcpListener, BindError> {
    bind_with(addr, ReceiveBuffer::default())
}

/// Like [`bind`], with another receive buffer of the connections.
///
/// # Errors
/// As for [`bind`].
pub fn bind_with(addr: SocketAddr, buffer: ReceiveBuffer) -> Result<TcpListener, BindError> {
    // With port reuse, monoio's default, two daemons started on the same port by mistake would
    // share its connections without an error.
    let opts = ListenerOpts::new()
        .reuse_port(false)
        .recv_buf_size(buffer.0)
        .backlog(WAITING_CONNECTIONS_MAX.into());
    TcpListener::bind_with_config(addr, &opts).map_err(|error| BindError { addr, error })
}

/// Serves until `stop.closing` is raised and all connections have ended.
pub async fn serve(
    listener: TcpListener,
    settings: ServerSettings,
    stop: StopSignals,
    handler: Rc<dyn Handler>,
) {
    let mut slots = Slots::new(settings.connections, settings.open);
    let ServerSettings { limits, memory, request_bytes, .. } = settings;
    let turns = ReadTurns::default();
    let server = Server { limits, memory, request_bytes, turns, stop: stop.clone(), handler };
    let accept_turns = ReadTurns::default();
    let closing = stop.closing.raised().fuse();
    pin_mut!(closing);
    while let Some(accepted) = accept(&mut slots, &accept_turns, &listener, &mut closing).await {
        match accepted {
            Ok((stream, peer)) => server.spawn(stream, peer, slots.acquire()),
            // When the process is out of file descriptors, accept fails immediately. Without the
            // pause, the loop would never yield to the tasks that close connections.
            Err(_) => time::sleep(ACCEPT_BACKOFF).await,
        }
    }
    // Connections whose handshake completed before the shutdown are served too.
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        server.spawn(stream, peer, slots.acquire());
    }
    drop(listener);
    slots.wait_until_all_free().await;
}

/// Accepts the next connection, or returns `None` once `closing` has resolved.
async fn accept(
    slots: &mut Slots,
    turns: &ReadTurns,
    listener: &TcpListener,
    mut closing: &mut (impl FusedFuture<Output = ()> + Unpin),
) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    let accepted = async {
        slots.wait_for_free().await;
        turns.next().await;
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
    memory: ByteBudget,
    request_bytes: usize,
    turns: ReadTurns,
    stop: StopSignals,
    handler: Rc<dyn Handler>,
}

impl Server {
    fn spawn(&self, stream: TcpStream, peer: SocketAddr, slot: Slot) {
        let connection = Connection::new(stream, peer, slot, self);
        // The connection is closed and its slot released whether or not the task panics.
        monoio::spawn(telemetry::contain("connection", peer, connection.run()));
    }
}
