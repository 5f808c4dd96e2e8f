//! Opens a connection to a control VM.

use std::{net::SocketAddr, time::Duration};

use capnp_rpc::{Disconnector, RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{AsyncReadExt, FutureExt, channel::oneshot, future::Shared};
use monoio::net::TcpStream;
use monoio_compat::TcpStreamCompat;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::{
    ByteCounters, ControlClient, RpcError, control_capnp, counting_stream::CountingStream,
};

/// An open connection, which is closed when dropped.
pub struct Connection {
    /// Calls the control VM over this connection.
    pub client: ControlClient,
    /// Resolves when the connection has ended.
    pub(crate) ended: Shared<oneshot::Receiver<()>>,
    disconnector: Option<Disconnector<Side>>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(disconnector) = self.disconnector.take() {
            monoio::spawn(async move {
                // Disconnecting fails only if the connection is already broken.
                let _ = disconnector.await;
            });
        }
    }
}

/// Connects to `addr` within `timeout`.
///
/// # Errors
///
/// If the connection is refused or not established in time.
pub async fn dial(
    addr: SocketAddr,
    timeout: Duration,
    counters: &ByteCounters,
) -> Result<Connection, RpcError> {
    let connecting = monoio::time::timeout(timeout, TcpStream::connect(addr));
    let stream = connecting
        .await
        .map_err(|_| RpcError::TimedOut { addr, waited: timeout })?
        .and_then(|stream| stream.set_nodelay(true).map(|()| stream))
        .map_err(|source| RpcError::Connect { addr, source })?;
    let stream = CountingStream::new(TcpStreamCompat::new(stream).compat(), counters.clone());
    let (reader, writer) = stream.split();
    let network = VatNetwork::new(reader, writer, Side::Client, Default::default());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: control_capnp::control::Client = system.bootstrap(Side::Server);
    let disconnector = Some(system.get_disconnector());
    let (end, ended) = oneshot::channel();
    monoio::spawn(async move {
        // The calls in flight report a broken connection, so the error can be ignored here.
        let _ = system.await;
        // The receiver is dropped with the connection.
        let _ = end.send(());
    });
    let ended = ended.shared();
    Ok(Connection { client: ControlClient::new(addr, client), ended, disconnector })
}
