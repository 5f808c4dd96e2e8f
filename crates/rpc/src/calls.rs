//! The client side of the schema's calls, as functions on plain types.

use std::{cell::Cell, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use crate::{
    DocumentUpdate, FetchedDocument, RpcError, ServerList, SubmitResult, TablesUpdate,
    control_capnp::{control, document_update, peer, submit_result, tables_update},
};

/// The timeout of a call that the server answers without waiting for a change. `fetch_tables` adds
/// it to the requested wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The time that a long poll may take beyond its requested wait. A control VM that does not answer
/// within it may be partitioned from the others, which may apply changes meanwhile.
const LONG_POLL_SLACK: Duration = Duration::from_millis(700);

/// Calls a control VM on behalf of a router or an operator.
#[derive(Clone)]
pub struct ControlClient {
    transport: Transport,
    inner: control::Client,
}

/// Calls a control VM on behalf of one of its peers.
#[derive(Clone)]
pub struct PeerClient {
    transport: Transport,
    inner: peer::Client,
}

/// The connection that carries the calls.
#[derive(Clone)]
struct Transport {
    addr: SocketAddr,
    /// The number of answered calls. An answer proves that data flows in both directions.
    answered_calls: Rc<Cell<u64>>,
}

impl ControlClient {
    pub(crate) fn new(addr: SocketAddr, inner: control::Client) -> Self {
        ControlClient { transport: Transport { addr, answered_calls: Rc::default() }, inner }
    }

    /// The number of calls over this connection that were answered.
    pub(crate) fn answered_calls(&self) -> u64 {
        self.transport.answered_calls.get()
    }

    /// The address of the control VM.
    pub fn addr(&self) -> SocketAddr {
        self.transport.addr
    }

    /// Sends a heartbeat and waits up to `timeout` for its answer.
    ///
    /// # Errors
    ///
    /// If there is no answer within `timeout` or the connection is broken.
    pub async fn ping(&self, timeout: Duration) -> Result<(), RpcError> {
        let call = self.inner.ping_request().send().promise;
        self.transport.call(timeout, call).await.map(|_| ())
    }

    /// Waits up to `wait` for tables newer than those of the client, which have the revision `held`
    /// and rows with the digest `digest`.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or no response arrives within `wait` and some slack.
    pub async fn fetch_tables(
        &self,
        held: u64,
        digest: u64,
        wait: Duration,
    ) -> Result<TablesUpdate, RpcError> {
        let mut request = self.inner.fetch_tables_request();
        let mut params = request.get();
        params.set_held(held);
        params.set_digest(digest);
        params.set_wait_ms(wait.as_millis() as u32);
        let reply = self.transport.call(wait + CALL_TIMEOUT, request.send().promise).await?;
        Ok(read_update(reply.get()?.get_update()?)?)
    }

    /// Waits up to `wait` for a document newer than the client's version `held`. If that is zero,
    /// it waits for the leader's confirmation of the newest document.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or no response arrives within `wait` and some slack.
    pub async fn fetch_document(
        &self,
        held: u64,
        wait: Duration,
    ) -> Result<DocumentUpdate, RpcError> {
        let mut request = self.inner.fetch_document_request();
        let mut params = request.get();
        params.set_held(held);
        params.set_wait_ms(wait.as_millis() as u32);
        let reply = self.transport.call(wait + LONG_POLL_SLACK, request.send().promise).await?;
        Ok(read_document(reply.get()?.get_update()?)?)
    }

    /// Waits up to `wait` for a list of servers whose stamp differs from `held`.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or no response arrives within `wait` and some slack.
    pub async fn fetch_servers(&self, held: u64, wait: Duration) -> Result<ServerList, RpcError> {
        let mut request = self.inner.fetch_servers_request();
        let mut params = request.get();
        params.set_held(held);
        params.set_wait_ms(wait.as_millis() as u32);
        let reply = self.transport.call(wait + LONG_POLL_SLACK, request.send().promise).await?;
        let list = reply.get()?.get_list()?;
        let age = Duration::from_millis(list.get_age_ms().into());
        Ok(ServerList { stamp: list.get_stamp(), age, servers: list.get_servers()?.to_vec() })
    }

    /// Appends an encoded command to the replicated log.
    ///
    /// # Errors
    ///
    /// If the call fails or no response arrives within `timeout`. The command may or may not be
    /// committed then.
    pub async fn submit(
        &self,
        token: &str,
        command: &[u8],
        timeout: Duration,
    ) -> Result<SubmitResult, RpcError> {
        let mut request = self.inner.submit_request();
        let mut params = request.get();
        params.set_token(token);
        params.set_command(command);
        let reply = self.transport.call(timeout, request.send().promise).await?;
        Ok(read_result(reply.get()?.get_result()?)?)
    }

    /// The state of the control VM, as JSON.
    ///
    /// # Errors
    ///
    /// If the call fails.
    pub async fn status(&self) -> Result<String, RpcError> {
        let call = self.inner.status_request().send().promise;
        let reply = self.transport.call(CALL_TIMEOUT, call).await?;
        Ok(reply.get()?.get_json()?.to_string().map_err(capnp::Error::from)?)
    }

    /// Sends a router's summary and returns the digest of its failure domain.
    ///
    /// # Errors
    ///
    /// If the call fails.
    pub async fn exchange(&self, summary: &[u8]) -> Result<Vec<u8>, RpcError> {
        let mut request = self.inner.exchange_request();
        request.get().set_summary(summary);
        let reply = self.transport.call(CALL_TIMEOUT, request.send().promise).await?;
        Ok(reply.get()?.get_digest()?.to_vec())
    }

    /// The interface of the control VM for its peers.
    ///
    /// # Errors
    ///
    /// If the token is wrong or the call fails.
    pub async fn peer(&self, token: &str) -> Result<PeerClient, RpcError> {
        let mut request = self.inner.peer_request();
        request.get().set_token(token);
        let reply = self.transport.call(CALL_TIMEOUT, request.send().promise).await?;
        Ok(PeerClient { transport: self.transport.clone(), inner: reply.get()?.get_peer()? })
    }
}

impl PeerClient {
    /// Delivers one encoded consensus message of the replicated log.
    ///
    /// # Errors
    ///
    /// If the connection breaks, or no response arrives within `timeout`.
    pub async fn deliver(
        &self,
        from: u64,
        message: &[u8],
        timeout: Duration,
    ) -> Result<(), RpcError> {
        let mut request = self.inner.deliver_request();
        let mut params = request.get();
        params.set_from(from);
        params.set_message(message);
        self.transport.call(timeout, request.send().promise).await.map(|_| ())
    }

    /// Forwards an encoded command to the leader.
    ///
    /// # Errors
    ///
    /// If the call fails or no response arrives within `timeout`. The command may or may not be
    /// committed then.
    pub async fn forward(
        &self,
        command: Vec<u8>,
        timeout: Duration,
    ) -> Result<SubmitResult, RpcError> {
        let mut request = self.inner.forward_request();
        request.get().set_command(&command);
        // The request has a copy; a large command is not held twice while the answer is awaited.
        drop(command);
        let reply = self.transport.call(timeout, request.send().promise).await?;
        Ok(read_result(reply.get()?.get_result()?)?)
    }

    /// The log index that must be applied before a linearizable read, or `None` if the VM does not
    /// hold the leader's lease.
    ///
    /// # Errors
    ///
    /// If the call fails or no response arrives within `timeout`.
    pub async fn read_index(&self, timeout: Duration) -> Result<Option<u64>, RpcError> {
        let call = self.inner.read_index_request().send().promise;
        let index = self.transport.call(timeout, call).await?.get()?.get_index();
        Ok((index > 0).then_some(index))
    }
}

impl Transport {
    async fn call<T>(
        &self,
        timeout: Duration,
        call: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, RpcError> {
        let response = monoio::time::timeout(timeout, call)
            .await
            .map_err(|_| RpcError::TimedOut { addr: self.addr, waited: timeout })??;
        self.answered_calls.set(self.answered_calls.get() + 1);
        Ok(response)
    }
}

fn read_update(update: tables_update::Reader<'_>) -> capnp::Result<TablesUpdate> {
    match update.which()? {
        tables_update::Unchanged(()) => Ok(TablesUpdate::Unchanged),
        tables_update::Delta(bytes) => Ok(TablesUpdate::Delta(bytes?.to_vec())),
        tables_update::Snapshot(snapshot) => {
            let snapshot = snapshot?;
            Ok(TablesUpdate::Snapshot {
                revision: snapshot.get_revision(),
                routes: snapshot.get_routes()?.to_string()?,
                pools: snapshot.get_pools()?.to_string()?,
                confirmed: snapshot.get_confirmed(),
            })
        }
    }
}

fn read_document(update: document_update::Reader<'_>) -> capnp::Result<DocumentUpdate> {
    let mut controls = Vec::new();
    for addr in update.get_controls()? {
        let addr = addr?.to_str()?;
        let fault = |_| capnp::Error::failed(format!("`{addr}` is no address of a control VM"));
        controls.push(addr.parse().map_err(fault)?);
    }
    let document = match update.which()? {
        document_update::Unchanged(()) => None,
        document_update::Document(document) => {
            let document = document?;
            Some(FetchedDocument {
                version: document.get_version(),
                text: document.get_text()?.to_vec(),
                confirmed: document.get_confirmed(),
            })
        }
    };
    Ok(DocumentUpdate { controls, has_leader: update.get_has_leader(), document })
}

fn read_result(result: submit_result::Reader<'_>) -> capnp::Result<SubmitResult> {
    match result.which()? {
        submit_result::Response(bytes) => Ok(SubmitResult::Response(bytes?.to_vec())),
        submit_result::Refused(reason) => Ok(SubmitResult::Refused(reason?.to_string()?)),
        submit_result::InDoubt(reason) => Ok(SubmitResult::InDoubt(reason?.to_string()?)),
    }
}
