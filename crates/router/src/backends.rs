//! The client side: exchanges with backend servers, and what a failed exchange proves about the
//! execution of its request.

use std::{net::SocketAddr, rc::Rc};

use clock::Clock;
use futures::{FutureExt, future::LocalBoxFuture};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, header};
use httpio::{
    Bytes, Limits,
    client::{ClientError, FailureKind, Pool, PoolSettings, Request, Response, Stage},
};
use policy::{Execution, Failure, ProbeResult};
use telemetry::TraceContext;

use crate::{
    dialect::Dialect,
    dispatch::{ProbeTarget, Prober},
    fields::traceparent,
    outcome::{Outcome, REQUEST_ID_HEADER},
};

/// The header by which a backend server states that it refused a request before starting it.
pub const NOT_STARTED_HEADER: &str = "x-not-started";

/// Settings of the connections to backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackendSettings {
    /// The connection pool and the limits of each connection.
    pub pool: PoolSettings,
    /// The timeout of a probe on a new connection.
    pub probe_timeout_ms: u64,
}

impl Default for BackendSettings {
    fn default() -> Self {
        let limits = Limits {
            // The router has its own timeouts for each phase; these are only a fallback.
            head_timeout_ms: 600_000,
            idle_timeout_ms: 600_000,
            ..Limits::default()
        };
        BackendSettings {
            pool: PoolSettings { limits, ..PoolSettings::default() },
            probe_timeout_ms: 1_000,
        }
    }
}

/// One request to a backend server.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The server.
    pub addr: SocketAddr,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The unique ID of the attempt, which the server echoes.
    pub id: HeaderValue,
    /// The span of the attempt.
    pub trace: TraceContext,
    /// Further header fields.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// An attempt that received no answer or an incomplete one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptError {
    /// What it indicates about the server.
    pub failure: Failure,
    /// What it proves about the execution of the request.
    pub execution: Execution,
    /// A description for people, which may be sent to the caller.
    pub detail: String,
}

impl AttemptError {
    /// A failure after bytes were sent, which indicates nothing about the server: the request may
    /// have run.
    #[must_use]
    pub fn in_doubt(detail: impl Into<String>) -> AttemptError {
        let (failure, execution) = (Failure::Other, Execution::MayHaveRun);
        AttemptError { failure, execution, detail: detail.into() }
    }

    /// The outcome that the caller receives.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self.execution {
            Execution::NotRun => Outcome::NotRun,
            Execution::MayHaveRun => Outcome::MayHaveRun,
            Execution::Ran => Outcome::Ran,
        }
    }
}

impl From<ClientError> for AttemptError {
    fn from(error: ClientError) -> Self {
        let execution = match error.stage {
            Stage::NotConnected | Stage::NothingSent => Execution::NotRun,
            Stage::Sent | Stage::HeadReceived => Execution::MayHaveRun,
        };
        AttemptError { failure: failure_kind(&error), execution, detail: error.to_string() }
    }
}

fn failure_kind(error: &ClientError) -> Failure {
    match (&error.stage, &error.kind) {
        (Stage::NotConnected, _) => Failure::ConnectRefused,
        (_, FailureKind::HeadTimeout | FailureKind::IdleTimeout | FailureKind::WriteTimeout) => {
            Failure::Timeout
        }
        // The server closed an idle connection before anything reached it.
        (Stage::NothingSent, FailureKind::Io(_) | FailureKind::CutShort) if error.reused => {
            Failure::Other
        }
        (_, FailureKind::Io(_) | FailureKind::CutShort) => Failure::Reset,
        _ => Failure::Other,
    }
}

/// Sends requests to backend servers.
#[derive(Clone)]
pub struct Backends {
    pool: Pool,
    /// With the timeout of a probe, for probes, cancellations and small documents.
    probe_pool: Pool,
    dialect: Option<Rc<dyn Dialect>>,
}

impl Backends {
    /// Creates a client without open connections.
    #[must_use]
    pub fn new(settings: BackendSettings, clock: Rc<dyn Clock>) -> Backends {
        let probe_limits = Limits {
            connect_timeout_ms: settings.probe_timeout_ms,
            head_timeout_ms: settings.probe_timeout_ms,
            idle_timeout_ms: settings.probe_timeout_ms,
            ..settings.pool.limits
        };
        let probe_settings = PoolSettings { limits: probe_limits, ..settings.pool };
        Backends {
            pool: Pool::new(settings.pool, Rc::clone(&clock)),
            probe_pool: Pool::new(probe_settings, clock),
            dialect: None,
        }
    }

    /// The same client, which uses `dialect` to read the name of the server that answers a probe.
    #[must_use]
    pub fn with_dialect(self, dialect: Rc<dyn Dialect>) -> Backends {
        Backends { dialect: Some(dialect), ..self }
    }

    /// Sends an attempt and waits for the head of its answer.
    ///
    /// # Errors
    /// If the exchange fails, the server refuses the request before starting it, or the answer
    /// belongs to another request.
    pub async fn send(&self, attempt: Attempt) -> Result<Response, AttemptError> {
        let (addr, id) = (attempt.addr, attempt.id.clone());
        let response = self.pool.send(addr, client_request(attempt)).await?;
        check_response(response, &id)
    }

    /// Sends an attempt on a new connection, for example when an old one fell silent.
    ///
    /// # Errors
    /// As for [`Backends::send`].
    pub async fn send_fresh(&self, attempt: Attempt) -> Result<Response, AttemptError> {
        let (addr, id) = (attempt.addr, attempt.id.clone());
        let response = self.pool.send_on_new_connection(addr, client_request(attempt)).await?;
        check_response(response, &id)
    }

    /// Sends a request unchanged and waits for the head of its answer, which is not checked.
    ///
    /// # Errors
    /// If the exchange fails.
    pub async fn exchange(
        &self,
        addr: SocketAddr,
        request: Request,
    ) -> Result<Response, ClientError> {
        self.pool.send(addr, request).await
    }

    /// Posts a small document, such as a report of crashes.
    ///
    /// # Errors
    /// If the exchange fails or the status is not a success.
    pub async fn post(&self, addr: SocketAddr, uri: Uri, body: Bytes) -> Result<(), AttemptError> {
        let request = Request { method: Method::POST, uri, body, ..Request::default() };
        let response = self.probe_pool.send(addr, request).await?;
        let status = response.head.status;
        response.body.collect().await?;
        match status.is_success() {
            true => Ok(()),
            false => Err(AttemptError::in_doubt(format!("the document was answered {status}"))),
        }
    }

    /// Fetches a small document, such as a load report.
    ///
    /// # Errors
    /// If the exchange fails or the status is not a success.
    pub async fn fetch(&self, addr: SocketAddr, uri: Uri) -> Result<Bytes, AttemptError> {
        let path = uri.path().to_owned();
        let response = self.probe_pool.send(addr, Request { uri, ..Request::default() }).await?;
        let status = response.head.status;
        if !status.is_success() {
            return Err(AttemptError::in_doubt(format!("{path} answered {status}")));
        }
        Ok(response.body.collect().await?)
    }

    /// Cancels a stream at its engine in the background.
    pub fn cancel(&self, addr: SocketAddr, id: &HeaderValue) {
        let Some(uri) = id.to_str().ok().and_then(|it| format!("/v1/streams/{it}").parse().ok())
        else {
            return;
        };
        let request = Request { method: Method::DELETE, uri, ..Request::default() };
        let pool = self.probe_pool.clone();
        let cancel = async move {
            // An engine that cannot be reached ends the stream when it finds the connection closed.
            if let Ok(response) = pool.send_on_new_connection(addr, request).await {
                let _ = response.body.collect().await;
            }
        };
        monoio::spawn(telemetry::contain("stream_cancel", addr, cancel));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.pool.close_idle(addr);
    }

    /// Asks a server for its health on a new connection.
    fn ask_health(
        &self,
        target: &ProbeTarget,
    ) -> impl Future<Output = Result<Response, ClientError>> + 'static {
        let (pool, addr) = (self.probe_pool.clone(), target.addr);
        // The tables do not validate that a health path is a valid request target.
        let uri = target.health_path.parse().unwrap_or_else(|_| Uri::from_static("/"));
        async move { pool.send_on_new_connection(addr, Request { uri, ..Request::default() }).await }
    }
}

impl Prober for Backends {
    fn probe(&self, target: &ProbeTarget) -> LocalBoxFuture<'static, ProbeResult> {
        let (dialect, label) = (self.dialect.clone(), target.label.clone());
        let answer = self.ask_health(target);
        async move {
            let Ok(response) = answer.await else { return ProbeResult::Dead };
            let headers = &response.head.headers;
            let name = dialect.as_ref().and_then(|it| it.server_name(headers));
            let is_other = !label.is_empty() && name.is_some_and(|it| it != &*label);
            match response.head.status.is_success() && !is_other {
                true => ProbeResult::Alive,
                false => ProbeResult::Dead,
            }
        }
        .boxed_local()
    }

    fn is_reachable(&self, target: &ProbeTarget) -> LocalBoxFuture<'static, bool> {
        let answer = self.ask_health(target);
        async move { answer.await.is_ok() }.boxed_local()
    }

    fn close_idle(&self, addr: SocketAddr) {
        Backends::close_idle(self, addr);
    }
}

fn client_request(attempt: Attempt) -> Request {
    let Attempt { method, uri, id, trace, mut headers, body, .. } = attempt;
    headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
    headers.insert(HeaderName::from_static("traceparent"), traceparent(&trace));
    Request { method, uri, headers, body }
}

/// The error of an answer that names no request on a connection that carried other answers: it may be a
/// late one to an earlier request.
pub(crate) fn unnamed_answer() -> AttemptError {
    AttemptError::in_doubt("an answer on a kept connection names no request")
}

/// Refuses an answer that may be a late one to an earlier request. If the answer names no request, the
/// connection is not kept, as nothing would tell a late copy of this answer from the next one.
pub(crate) fn refuse_late_answer(mut response: Response) -> Result<Response, AttemptError> {
    if response.head.headers.contains_key(REQUEST_ID_HEADER) {
        return Ok(response);
    }
    if response.is_on_kept_connection() {
        return Err(unnamed_answer());
    }
    response.close_afterwards();
    Ok(response)
}

fn check_response(response: Response, id: &HeaderValue) -> Result<Response, AttemptError> {
    let head = &response.head;
    let echo = head.headers.get(REQUEST_ID_HEADER);
    if echo.is_some_and(|it| it != id) {
        // Dropping the response closes the connection, whose next answer would be misassigned too.
        return Err(AttemptError::in_doubt("the answer belongs to another request"));
    }
    if !head.status.is_success() && head.headers.contains_key(NOT_STARTED_HEADER) {
        if echo.is_none() {
            // It may be a copy of an earlier refusal, while the server runs this request.
            return Err(AttemptError::in_doubt("a refusal names no request"));
        }
        let is_full = head.status == StatusCode::SERVICE_UNAVAILABLE;
        return Err(AttemptError {
            failure: if is_full { Failure::Overloaded } else { Failure::Other },
            execution: Execution::NotRun,
            detail: "the backend server refused the request before starting it".to_owned(),
        });
    }
    Ok(response)
}

/// The header fields of an answer that are forwarded to callers.
#[must_use]
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let names = [header::CONTENT_TYPE, header::RETRY_AFTER, header::CACHE_CONTROL];
    let fields = names.into_iter().filter_map(|it| Some((it.clone(), headers.get(it)?.clone())));
    fields.collect()
}
