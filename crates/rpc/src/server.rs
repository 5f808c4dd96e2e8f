//! The server side of the schema's calls, which passes them to handlers on plain types.

use std::{rc::Rc, time::Duration};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty::VatNetwork};
use futures::{AsyncReadExt, future::LocalBoxFuture};
use monoio::{
    net::{TcpListener, TcpStream},
    time,
};
use monoio_compat::TcpStreamCompat;
use telemetry::Throttle;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::{
    ByteCounters, DocumentUpdate, ServerList, SubmitResult, TablesUpdate,
    connections::Connections,
    control_capnp::{control, document_update, peer, submit_result, tables_update},
    counting_stream::CountingStream,
    message_reader::{MessageLimits, MessageReader},
};

/// The pause after a failed accept. Without it, the accept loop would spin when the process is out
/// of file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The time between two log lines about connections that wait.
const FULL_LOG_INTERVAL: Duration = Duration::from_secs(60);

/// The system probes a connection on which nothing came for so long, and closes it if the other end has gone
/// without closing it, as a VM that has lost power.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(60);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);
const KEEPALIVE_PROBES: u32 = 3;

/// Handles the calls of routers and operators to a control VM.
pub trait ControlHandler {
    /// Waits up to `wait` for tables newer than those of the client, which have the revision `held`
    /// and rows with the digest `digest`.
    fn fetch_tables(
        &self,
        held: u64,
        digest: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'static, TablesUpdate>;

    /// Waits up to `wait` for a document newer than the client's version `held`.
    fn fetch_document(&self, held: u64, wait: Duration) -> LocalBoxFuture<'static, DocumentUpdate>;

    /// Waits up to `wait` for a list of servers whose stamp differs from `held`.
    fn fetch_servers(&self, held: u64, wait: Duration) -> LocalBoxFuture<'static, ServerList>;

    /// Appends a command to the replicated log.
    fn submit(&self, token: String, command: Vec<u8>) -> LocalBoxFuture<'static, SubmitResult>;

    /// The state of this VM, as JSON.
    fn status(&self) -> String;

    /// Stores a router's summary and returns the digest of its failure domain.
    fn exchange(&self, summary: Vec<u8>) -> Vec<u8>;

    /// The handler for peers, if the token is correct.
    fn peer(&self, token: &str) -> Option<Rc<dyn PeerHandler>>;
}

/// Handles the calls of other control VMs.
pub trait PeerHandler {
    /// Processes one consensus message of the replicated log.
    fn deliver(&self, from: u64, message: Vec<u8>);

    /// Proposes a command that a peer forwarded.
    fn forward(&self, command: Vec<u8>) -> LocalBoxFuture<'static, SubmitResult>;

    /// The log index that must be applied before a linearizable read, if this VM holds the leader's
    /// lease.
    fn read_index(&self) -> Option<u64>;
}

/// The maximum number of open connections of a server unless it is set: routers, other control VMs and operators. At 28 KB a
/// router, they take 29 MB.
pub const CONNECTIONS_MAX: usize = 1_024;

/// What a server accepts.
#[derive(Debug, Clone)]
pub struct ServerSettings {
    /// The maximum number of open connections.
    pub connections_max: usize,
    /// What messages may hold.
    pub messages: MessageLimits,
}

impl Default for ServerSettings {
    fn default() -> Self {
        ServerSettings { connections_max: CONNECTIONS_MAX, messages: MessageLimits::default() }
    }
}

/// Accepts connections until the future is dropped. While as many are open as allowed, further ones wait until
/// one closes; their clients try another control VM meanwhile.
pub async fn serve(
    settings: ServerSettings,
    listener: TcpListener,
    handler: Rc<dyn ControlHandler>,
    counters: ByteCounters,
) {
    let ServerSettings { connections_max, messages } = settings;
    let connections = Connections::new(connections_max);
    let full = Throttle::new(FULL_LOG_INTERVAL);
    loop {
        if !connections.have_room()
            && let Some(suppressed) = full.record(time::Instant::now().into_std())
        {
            tracing::warn!(event = "rpc_connections_full", connections_max, suppressed);
        }
        connections.wait_for_room().await;
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (handler, counters) = (handler.clone(), counters.clone());
                let connection = serve_connection(stream, messages.clone(), handler, counters);
                let open = connections.open();
                monoio::spawn(async move {
                    // A panic in one of its calls closes the connection, by which the client learns of it.
                    let _ = telemetry::contain("rpc_connection", peer, connection).await;
                    drop(open);
                });
            }
            Err(_) => time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    messages: MessageLimits,
    handler: Rc<dyn ControlHandler>,
    counters: ByteCounters,
) {
    let keepalive = stream.set_tcp_keepalive(
        Some(KEEPALIVE_IDLE),
        Some(KEEPALIVE_INTERVAL),
        Some(KEEPALIVE_PROBES),
    );
    if stream.set_nodelay(true).and(keepalive).is_err() {
        return;
    }
    let stream = CountingStream::new(TcpStreamCompat::new(stream).compat(), counters);
    let (reader, writer) = stream.split();
    let reader = MessageReader::new(reader, messages);
    let network = VatNetwork::new(reader, writer, Side::Server, Default::default());
    let client: control::Client = capnp_rpc::new_client(ControlServer { handler });
    // An error means that the connection broke, which the client detects by itself.
    let _ = RpcSystem::new(Box::new(network), Some(client.client)).await;
}

struct ControlServer {
    handler: Rc<dyn ControlHandler>,
}

impl control::Server for ControlServer {
    async fn ping(
        self: Rc<Self>,
        _params: control::PingParams,
        _results: control::PingResults,
    ) -> Result<(), capnp::Error> {
        Ok(())
    }

    async fn fetch_tables(
        self: Rc<Self>,
        params: control::FetchTablesParams,
        mut results: control::FetchTablesResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let wait = Duration::from_millis(params.get_wait_ms().into());
        let update = self.handler.fetch_tables(params.get_held(), params.get_digest(), wait).await;
        write_update(results.get().init_update(), update);
        Ok(())
    }

    async fn fetch_document(
        self: Rc<Self>,
        params: control::FetchDocumentParams,
        mut results: control::FetchDocumentResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let wait = Duration::from_millis(params.get_wait_ms().into());
        let update = self.handler.fetch_document(params.get_held(), wait).await;
        write_document(results.get().init_update(), &update);
        Ok(())
    }

    async fn fetch_servers(
        self: Rc<Self>,
        params: control::FetchServersParams,
        mut results: control::FetchServersResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let wait = Duration::from_millis(params.get_wait_ms().into());
        let list = self.handler.fetch_servers(params.get_held(), wait).await;
        let mut builder = results.get().init_list();
        builder.set_stamp(list.stamp);
        builder.set_age_ms(list.age.as_millis().min(u32::MAX.into()) as u32);
        builder.set_servers(&list.servers);
        Ok(())
    }

    async fn submit(
        self: Rc<Self>,
        params: control::SubmitParams,
        mut results: control::SubmitResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let token = params.get_token()?.to_string()?;
        let result = self.handler.submit(token, params.get_command()?.to_vec()).await;
        write_result(results.get().init_result(), result);
        Ok(())
    }

    async fn status(
        self: Rc<Self>,
        _params: control::StatusParams,
        mut results: control::StatusResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_json(self.handler.status());
        Ok(())
    }

    async fn exchange(
        self: Rc<Self>,
        params: control::ExchangeParams,
        mut results: control::ExchangeResults,
    ) -> Result<(), capnp::Error> {
        let digest = self.handler.exchange(params.get()?.get_summary()?.to_vec());
        results.get().set_digest(&digest);
        Ok(())
    }

    async fn peer(
        self: Rc<Self>,
        params: control::PeerParams,
        mut results: control::PeerResults,
    ) -> Result<(), capnp::Error> {
        let token = params.get()?.get_token()?.to_string()?;
        let Some(handler) = self.handler.peer(&token) else {
            let remedy = "the peer token is wrong: give every control VM the same one";
            return Err(capnp::Error::failed(remedy.to_owned()));
        };
        results.get().set_peer(capnp_rpc::new_client(PeerServer { handler }));
        Ok(())
    }
}

struct PeerServer {
    handler: Rc<dyn PeerHandler>,
}

impl peer::Server for PeerServer {
    async fn deliver(
        self: Rc<Self>,
        params: peer::DeliverParams,
        _results: peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        self.handler.deliver(params.get_from(), params.get_message()?.to_vec());
        Ok(())
    }

    async fn forward(
        self: Rc<Self>,
        params: peer::ForwardParams,
        mut results: peer::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let result = self.handler.forward(params.get()?.get_command()?.to_vec()).await;
        write_result(results.get().init_result(), result);
        Ok(())
    }

    async fn read_index(
        self: Rc<Self>,
        _params: peer::ReadIndexParams,
        mut results: peer::ReadIndexResults,
    ) -> Result<(), capnp::Error> {
        results.get().set_index(self.handler.read_index().unwrap_or(0));
        Ok(())
    }
}

fn write_update(mut builder: tables_update::Builder<'_>, update: TablesUpdate) {
    match update {
        TablesUpdate::Unchanged => builder.set_unchanged(()),
        TablesUpdate::Delta(bytes) => builder.set_delta(&bytes),
        TablesUpdate::Snapshot { revision, routes, pools, confirmed } => {
            let mut snapshot = builder.init_snapshot();
            snapshot.set_revision(revision);
            snapshot.set_routes(routes);
            snapshot.set_pools(pools);
            snapshot.set_confirmed(confirmed);
        }
    }
}

fn write_document(mut builder: document_update::Builder<'_>, update: &DocumentUpdate) {
    let mut controls = builder.reborrow().init_controls(update.controls.len() as u32);
    for (idx, addr) in update.controls.iter().enumerate() {
        controls.set(idx as u32, addr.to_string());
    }
    builder.set_has_leader(update.has_leader);
    let Some(fetched) = &update.document else { return builder.set_unchanged(()) };
    let mut document = builder.init_document();
    document.set_version(fetched.version);
    document.set_text(&fetched.text);
    document.set_confirmed(fetched.confirmed);
}

fn write_result(mut builder: submit_result::Builder<'_>, result: SubmitResult) {
    match result {
        SubmitResult::Response(bytes) => builder.set_response(&bytes),
        SubmitResult::Refused(reason) => builder.set_refused(reason),
        SubmitResult::InDoubt(reason) => builder.set_in_doubt(reason),
    }
}
