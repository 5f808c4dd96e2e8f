//! The calls of the schema as functions over plain types.

use std::{cell::Cell, future::Future, net::SocketAddr, rc::Rc, time::Duration};

use crate::{
    DocumentUpdate, FetchedDocument, RpcError, ServerList, SubmitResult, TablesUpdate,
    control_capnp::{control, document_update, peer, submit_result, tables_update},
};

/// How long a call that needs no waiting on the other side may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the answer to a question that waits for news may take beyond the wait that was asked for.
/// A control VM that is silent for longer may be cut off while the others put changes in force.
const FEED_SLACK: Duration = Duration::from_millis(700);

/// The calls that a control VM offers to routers and operators.
#[derive(Clone)]
pub struct ControlClient {
    wire: Wire,
    inner: control::Client,
}

/// The calls that a control VM offers to its peers.
#[derive(Clone)]
pub struct PeerClient {
    wire: Wire,
    inner: peer::Client,
}

/// The connection under the calls.
#[derive(Clone)]
struct Wire {
    addr: SocketAddr,
    /// Counts answers, which prove that the connection carries data both ways.
    answers: Rc<Cell<u64>>,
}

impl ControlClient {
    pub(crate) fn new(addr: SocketAddr, inner: control::Client) -> Self {
        ControlClient { wire: Wire { addr, answers: Rc::default() }, inner }
    }

    /// How many calls over this connection were answered.
    pub(crate) fn answers(&self) -> u64 {
        self.wire.answers.get()
    }

    /// The address of the control VM.
    pub fn addr(&self) -> SocketAddr {
        self.wire.addr
    }

    /// Asks for any answer within `timeout`.
    ///
    /// # Errors
    ///
    /// If none comes in time or the connection is broken.
    pub async fn ping(&self, timeout: Duration) -> Result<(), RpcError> {
        let call = self.inner.ping_request().send().promise;
        self.wire.within(timeout, call).await.map(|_| ())
    }

    /// Waits up to `wait` for tables newer than revision `held`, whose rows have `digest`.
    ///
    /// # Errors
    ///
    /// If the connection breaks or stays silent well beyond `wait`.
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
        let reply = self.wire.within(wait + CALL_TIMEOUT, request.send().promise).await?;
        Ok(read_update(reply.get()?.get_update()?)?)
    }

    /// Waits up to `wait` for a document newer than version `held`; with version zero, for the
    /// leader's confirmation of the newest one.
    ///
    /// # Errors
    ///
    /// If the connection breaks or stays silent well beyond `wait`.
    pub async fn fetch_document(
        &self,
        held: u64,
        wait: Duration,
    ) -> Result<DocumentUpdate, RpcError> {
        let mut request = self.inner.fetch_document_request();
        let mut params = request.get();
        params.set_held(held);
        params.set_wait_ms(wait.as_millis() as u32);
        let reply = self.wire.within(wait + FEED_SLACK, request.send().promise).await?;
        Ok(read_document(reply.get()?.get_update()?)?)
    }

    /// Waits up to `wait` for another list of servers than the one stamped `held`.
    ///
    /// # Errors
    ///
    /// If the connection breaks or stays silent beyond `wait`.
    pub async fn fetch_servers(&self, held: u64, wait: Duration) -> Result<ServerList, RpcError> {
        let mut request = self.inner.fetch_servers_request();
        let mut params = request.get();
        params.set_held(held);
        params.set_wait_ms(wait.as_millis() as u32);
        let reply = self.wire.within(wait + FEED_SLACK, request.send().promise).await?;
        let list = reply.get()?.get_list()?;
        let age = Duration::from_millis(list.get_age_ms().into());
        Ok(ServerList { stamp: list.get_stamp(), age, servers: list.get_servers()?.to_vec() })
    }

    /// Puts an encoded command into the replicated log.
    ///
    /// # Errors
    ///
    /// If no answer comes within `timeout`: the command may or may not be committed then.
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
        let reply = self.wire.within(timeout, request.send().promise).await?;
        Ok(read_result(reply.get()?.get_result()?)?)
    }

    /// The state of the control VM as JSON.
    ///
    /// # Errors
    ///
    /// If the call fails.
    pub async fn status(&self) -> Result<String, RpcError> {
        let call = self.inner.status_request().send().promise;
        let reply = self.wire.within(CALL_TIMEOUT, call).await?;
        Ok(reply.get()?.get_json()?.to_string().map_err(capnp::Error::from)?)
    }

    /// Gives a router's summary and takes the failure domain's digest.
    ///
    /// # Errors
    ///
    /// If the call fails.
    pub async fn exchange(&self, summary: &[u8]) -> Result<Vec<u8>, RpcError> {
        let mut request = self.inner.exchange_request();
        request.get().set_summary(summary);
        let reply = self.wire.within(CALL_TIMEOUT, request.send().promise).await?;
        Ok(reply.get()?.get_digest()?.to_vec())
    }

    /// The interface for control VMs.
    ///
    /// # Errors
    ///
    /// If the token is wrong or the call fails.
    pub async fn peer(&self, token: &str) -> Result<PeerClient, RpcError> {
        let mut request = self.inner.peer_request();
        request.get().set_token(token);
        let reply = self.wire.within(CALL_TIMEOUT, request.send().promise).await?;
        Ok(PeerClient { wire: self.wire.clone(), inner: reply.get()?.get_peer()? })
    }
}

impl PeerClient {
    /// Hands over one encoded message of the replicated log.
    ///
    /// # Errors
    ///
    /// If the connection breaks or stays silent for `timeout`.
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
        self.wire.within(timeout, request.send().promise).await.map(|_| ())
    }

    /// Passes an encoded command on to the leader.
    ///
    /// # Errors
    ///
    /// If no answer comes within `timeout`: the command may or may not be committed then.
    pub async fn forward(
        &self,
        command: &[u8],
        timeout: Duration,
    ) -> Result<SubmitResult, RpcError> {
        let mut request = self.inner.forward_request();
        request.get().set_command(command);
        let reply = self.wire.within(timeout, request.send().promise).await?;
        Ok(read_result(reply.get()?.get_result()?)?)
    }

    /// The log index that a read has to wait for; nothing if this VM does not lead.
    ///
    /// # Errors
    ///
    /// If no answer comes within `timeout`.
    pub async fn read_index(&self, timeout: Duration) -> Result<Option<u64>, RpcError> {
        let call = self.inner.read_index_request().send().promise;
        let index = self.wire.within(timeout, call).await?.get()?.get_index();
        Ok((index > 0).then_some(index))
    }
}

impl Wire {
    async fn within<T>(
        &self,
        timeout: Duration,
        call: impl Future<Output = Result<T, capnp::Error>>,
    ) -> Result<T, RpcError> {
        let answer = monoio::time::timeout(timeout, call)
            .await
            .map_err(|_| RpcError::TimedOut { addr: self.addr, waited: timeout })??;
        self.answers.set(self.answers.get() + 1);
        Ok(answer)
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
