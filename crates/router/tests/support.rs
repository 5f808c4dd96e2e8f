//! A router and fake backend servers in one process, shared by the tests of this folder.
#![allow(dead_code)]

#[path = "support/listed.rs"]
pub(crate) mod listed;

use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use clock::{Clock, SystemClock};
use directory::VmList;
use futures::{
    channel::mpsc,
    future::{FutureExt, LocalBoxFuture},
};
use httpio::{
    Bytes, HeaderMap, HeaderValue, Limits, StatusCode,
    client::{Pool, PoolSettings, Request as ClientRequest, Response},
    server::{self, ReceiveBuffer, Reply, Request, ServerSettings, StopSignals, StreamSender},
};
use monoio::{
    LegacyDriver, RuntimeBuilder,
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
    task::JoinHandle,
};
use router::{
    backends::BackendSettings,
    daemon::{self, Components, Interface, Listeners, Stopped},
    identity::Workspaces,
    order_ledger::{
        BodyHash, ClaimId, ClaimResult, LedgerError, NoLedger, OrderEnd, OrderKey, OrderLedger,
    },
    services::Timeouts,
    settings::RouterSettings,
    table_source::{FixedTables, TableSource},
};
use tables::{Revision, TablesText};

pub(crate) const TOKEN: &str = "token-of-north";
pub(crate) const ORDER_BODY: &str = r#"{"clip":7}"#;
/// The time after which a claim expires.
pub(crate) const CLAIM_TTL: Duration = Duration::from_secs(300);

pub(crate) fn run(test: impl Future<Output = ()>) {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime builds")
        .block_on(test);
}

fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// An address that refuses connections.
pub(crate) fn closed_port() -> SocketAddr {
    server::bind(any_port()).expect("a free port").local_addr().expect("a bound listener")
}

/// A fake backend server that records its requests, except probes and load reports.
#[derive(Clone)]
pub(crate) struct FakeServer {
    pub(crate) addr: SocketAddr,
    pub(crate) requests: Rc<RefCell<Vec<Request>>>,
    /// Whether the server answers probes.
    pub(crate) is_healthy: Rc<Cell<bool>>,
    /// The number of probes received.
    pub(crate) probes: Rc<Cell<usize>>,
}

impl FakeServer {
    pub(crate) fn start(answer: impl AsyncFn(Request) -> Reply + 'static) -> FakeServer {
        FakeServer::start_with(Rc::new(Cell::new(true)), answer)
    }

    /// Starts a server that answers probes while `is_healthy` is true.
    pub(crate) fn start_with(
        is_healthy: Rc<Cell<bool>>,
        answer: impl AsyncFn(Request) -> Reply + 'static,
    ) -> FakeServer {
        let listener = server::bind(any_port()).expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let requests = Rc::new(RefCell::new(Vec::new()));
        let (all, answer) = (Rc::clone(&requests), Rc::new(answer));
        let healthy = Rc::clone(&is_healthy);
        let probes = Rc::new(Cell::new(0));
        let probed = Rc::clone(&probes);
        let handler = move |req: Request| -> LocalBoxFuture<'static, Reply> {
            if req.uri.path() == "/healthz" {
                probed.set(probed.get() + 1);
                let reply = match healthy.get() {
                    true => Reply::typed(StatusCode::OK, "text/plain", "ok".into()),
                    false => Reply::abort(),
                };
                return async { reply }.boxed_local();
            }
            if req.uri.path() == "/v1/load" {
                return async { Reply::typed(StatusCode::NOT_FOUND, "text/plain", "".into()) }
                    .boxed_local();
            }
            all.borrow_mut().push(req.clone());
            let answer = Rc::clone(&answer);
            async move { answer(req).await }.boxed_local()
        };
        let settings = ServerSettings::default();
        let stop = StopSignals::default();
        monoio::spawn(server::serve(listener, settings, stop, Rc::new(handler)));
        FakeServer { addr, requests, is_healthy, probes }
    }

    /// Starts an engine that answers each request with the same tokens.
    pub(crate) fn engine(tokens: &'static [&'static str]) -> FakeServer {
        FakeServer::start(async move |req| stream(&req, tokens, Ending::Complete))
    }

    /// Starts a service that answers with the path of the request.
    pub(crate) fn service() -> FakeServer {
        FakeServer::start(async |req| {
            Reply::typed(StatusCode::OK, "text/plain", req.uri.path().to_owned().into())
        })
    }

    pub(crate) fn request_lines(&self) -> Vec<String> {
        self.requests
            .borrow()
            .iter()
            .map(|it| format!("{} {}", it.method, normalized_path(it)))
            .collect()
    }
}

/// The path with the attempt's random id replaced by `ID`.
fn normalized_path(req: &Request) -> String {
    let path = req.uri.path();
    match path.strip_prefix("/v1/streams/").and_then(|it| it.split_once('/')) {
        Some((_, rest)) => format!("/v1/streams/ID/{rest}"),
        None if path.starts_with("/v1/streams/") => "/v1/streams/ID".to_owned(),
        None if path.starts_with("/v1/kv/") => "/v1/kv/ID".to_owned(),
        None => path.to_owned(),
    }
}

/// How a fake stream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ending {
    Complete,
    /// The connection closes before the body ends.
    Disconnected,
    /// The body ends properly, but without the last events.
    Truncated,
}

pub(crate) fn request_id(req: &Request) -> String {
    req.header("x-request-id").expect("the router sends a request id").to_owned()
}

pub(crate) fn token_event(id: &str, token: &str) -> Bytes {
    let chunk = format!(
        r#"{{"id":"{id}","model":"m","choices":[{{"index":0,"delta":{{"content":"{token}"}},"finish_reason":null}}]}}"#
    );
    format!("data: {chunk}\n\n").into()
}

pub(crate) fn last_events(id: &str, count: usize) -> Bytes {
    let chunk = format!(
        r#"{{"id":"{id}","model":"m","choices":[{{"index":0,"delta":{{}},"finish_reason":"stop"}}],"usage":{{"prompt_tokens":1,"completion_tokens":{count}}}}}"#
    );
    format!("data: {chunk}\n\ndata: [DONE]\n\n").into()
}

/// A streamed answer to `req`.
pub(crate) fn stream(req: &Request, tokens: &'static [&'static str], ending: Ending) -> Reply {
    let id = request_id(req);
    stream_as(&id, &id.clone(), tokens, ending)
}

/// A streamed answer with the given request ids in its head and its events.
pub(crate) fn stream_as(
    head_id: &str,
    id: &str,
    tokens: &'static [&'static str],
    ending: Ending,
) -> Reply {
    let (id, (mut sender, reply)) = (id.to_owned(), event_stream(head_id));
    monoio::spawn(async move {
        for token in tokens {
            if sender.send(token_event(&id, token)).await.is_err() {
                return;
            }
        }
        if ending == Ending::Complete {
            let _ = sender.send(last_events(&id, tokens.len())).await;
        }
        if ending != Ending::Disconnected {
            let _ = sender.finish().await;
        }
    });
    reply
}

pub(crate) fn event_stream(head_id: &str) -> (StreamSender, Reply) {
    let mut headers = HeaderMap::new();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    headers.insert("x-request-id", head_id.parse().expect("a valid header value"));
    Reply::stream(StatusCode::OK, headers, 1)
}

pub(crate) fn not_started(req: &Request) -> Reply {
    let mut reply = Reply::typed(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "full".into());
    let id = request_id(req).parse().expect("a request id is a header value");
    reply.headers.insert("x-request-id", id);
    reply.headers.insert("x-not-started", HeaderValue::from_static("1"));
    reply
}

/// A router under test.
pub(crate) struct TestRouter {
    pub(crate) addr: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) stop: mpsc::UnboundedSender<()>,
    pub(crate) stopped: JoinHandle<anyhow::Result<Stopped>>,
    pub(crate) pool: Pool,
}

/// The router's settings and components that a test can override.
pub(crate) struct Setup {
    pub(crate) engines: Vec<SocketAddr>,
    /// Engines in another failure domain.
    pub(crate) remote_engines: Vec<SocketAddr>,
    pub(crate) services: Vec<SocketAddr>,
    pub(crate) ledger: Rc<dyn OrderLedger>,
    pub(crate) timeouts: Timeouts,
    pub(crate) backends: BackendSettings,
    /// Additional settings lines of the chat route.
    pub(crate) chat: &'static str,
    /// The router's clock.
    pub(crate) clock: Rc<dyn Clock>,
    /// The seed of the router's random ids, different for each router.
    pub(crate) seed: u64,
    /// The admin listeners of the other routers.
    pub(crate) peers: Vec<SocketAddr>,
    /// The address of the platform's list of servers.
    pub(crate) platform: Option<SocketAddr>,
    /// Additional settings lines of the engine pool.
    pub(crate) pool: &'static str,
    pub(crate) interface: Interface,
    /// The deadline of the order route.
    pub(crate) order_deadline_ms: u64,
    /// The time between a stop request and the kill of the process.
    pub(crate) stop_grace: Duration,
}

impl Default for Setup {
    fn default() -> Self {
        Setup {
            engines: vec![closed_port()],
            remote_engines: Vec::new(),
            services: vec![closed_port()],
            ledger: Rc::new(NoLedger),
            timeouts: Timeouts::default(),
            backends: BackendSettings::default(),
            chat: "",
            clock: Rc::new(SystemClock),
            seed: 7,
            peers: Vec::new(),
            platform: None,
            pool: "",
            order_deadline_ms: 20_000,
            stop_grace: RouterSettings::default().stop_grace,
            interface: Interface::Native,
        }
    }
}

impl Setup {
    pub(crate) fn start(self) -> TestRouter {
        let tables = tables::check(Revision(1), &self.tables()).expect("the tables are valid");
        self.start_with(Rc::new(FixedTables::new(tables)))
    }

    pub(crate) fn start_with(self, tables: Rc<dyn TableSource>) -> TestRouter {
        let settings = RouterSettings {
            vm: "vm-1".to_owned(),
            failure_domain: "fd-1".to_owned(),
            drain_delay_ms: 0,
            stop_grace: self.stop_grace,
            server: router::settings::CallerListener {
                limits: Limits { closing_grace_ms: 0, ..Limits::default() },
                ..Default::default()
            },
            timeouts: self.timeouts,
            peers: self.peers,
            peer_period_ms: 10,
            platform: self.platform,
            platform_period_ms: 10,
            backends: self.backends,
            ..RouterSettings::default()
        };
        let workspaces = format!("[north]\ntoken = {TOKEN}\n[south]\ntoken = token-of-south\n");
        let parts = Components {
            tables,
            ledger: self.ledger,
            workspaces: Rc::new(Workspaces::parse(&workspaces).expect("the workspaces are valid")),
            link: None,
            clock: self.clock,
            seed: self.seed,
            interface: self.interface,
            directory: Rc::new(VmList),
            token: None,
        };
        let bound = Listeners::bind(any_port(), any_port(), None, ReceiveBuffer::default())
            .expect("free ports");
        let addr = bound.callers.local_addr().expect("a bound listener");
        let admin = bound.admin.local_addr().expect("a bound listener");
        let (stop, stops) = mpsc::unbounded();
        let stopped = monoio::spawn(daemon::serve(settings, parts, bound, stops));
        let pool = Pool::new(PoolSettings::default(), Rc::new(SystemClock));
        TestRouter { addr, admin, stop, stopped, pool }
    }

    pub(crate) fn tables(&self) -> TablesText {
        let list = |all: &[SocketAddr]| {
            all.iter().map(|it| format!("{it}@fd-1")).collect::<Vec<_>>().join(", ")
        };
        let remote: String = self.remote_engines.iter().map(|it| format!(", {it}@fd-2")).collect();
        let pools = format!(
            "[llm]\nkind = engine\nmodel = m\nservers = {}{remote}\n{}\n[svc]\nkind = service\nservers = {}\n",
            list(&self.engines),
            self.pool,
            list(&self.services),
        );
        let routes = format!(
            "[chat]\npath = /v1/chat/completions\npriority = 1\npool = llm\ndeadline_ms = 20000\nidempotent = yes\n{}\n\
             [draft]\npath = /v1/chat/completions\npriority = 5\npool = llm\ndeadline_ms = 60000\nidempotent = yes\n\
             [lookup]\npath = /lookup/*\npriority = 3\npool = svc\ndeadline_ms = 20000\nidempotent = yes\nretries_max = 2\n\
             [restore]\npath = /orders\npriority = 3\npool = svc\ndeadline_ms = {}\nidempotent = no\n",
            self.chat, self.order_deadline_ms,
        );
        TablesText { routes, pools }
    }
}

impl TestRouter {
    pub(crate) async fn send(&self, request: ClientRequest) -> Response {
        self.pool.send(self.addr, request).await.expect("the router answers")
    }

    /// Sends a request and returns the response as text, limited to what is the same in each run.
    pub(crate) async fn exchange(&self, request: ClientRequest) -> String {
        let response = self.send(request).await;
        let head = response.head;
        let mut text = format!("{}\n", head.status);
        for name in ["x-outcome", "x-request-id", "retry-after", "content-type"] {
            if let Some(value) = head.headers.get(name) {
                text += &format!("{name}: {}\n", value.to_str().expect("visible characters"));
            }
        }
        let mut body = response.body;
        loop {
            match body.next().await {
                Some(Ok(data)) => text += &String::from_utf8_lossy(&data),
                Some(Err(error)) => return text + &format!("\n<{}>", error.kind),
                None => return text,
            }
        }
    }

    pub(crate) async fn admin(&self, path: &'static str) -> String {
        let request = ClientRequest { uri: path.parse().expect("a path"), ..Default::default() };
        let response =
            self.pool.send(self.admin, request).await.expect("the admin listener answers");
        let status = response.head.status;
        let body = response.body.collect().await.expect("a complete body");
        format!("{status}: {}", String::from_utf8_lossy(&body))
    }
}

/// Sends `bytes` and reads until the server closes the connection.
pub(crate) async fn raw_exchange(addr: SocketAddr, bytes: &'static str) -> String {
    let mut stream = TcpStream::connect_addr(addr).await.expect("the router listens");
    stream.write_all(bytes).await.0.expect("the request is written");
    let mut all = Vec::new();
    loop {
        match stream.read(Vec::with_capacity(4096)).await {
            (Ok(1..), chunk) => all.extend(chunk),
            _ => return String::from_utf8_lossy(&all).into_owned(),
        }
    }
}

pub(crate) fn with_header(
    mut request: ClientRequest,
    name: &'static str,
    value: &str,
) -> ClientRequest {
    request.headers.insert(name, value.parse().expect("a header value"));
    request
}

fn north_request(path: &'static str) -> ClientRequest {
    let request = ClientRequest { uri: path.parse().expect("a path"), ..Default::default() };
    let request = with_header(request, "authorization", &format!("Bearer {TOKEN}"));
    with_header(request, "x-request-id", "q1")
}

fn post(path: &'static str, body: &str) -> ClientRequest {
    let body = Bytes::from(body.to_owned());
    ClientRequest { method: httpio::Method::POST, body, ..north_request(path) }
}

/// A chat request for an unstreamed answer.
pub(crate) fn unstreamed_chat() -> ClientRequest {
    let body = r#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#;
    with_header(post("/v1/chat/completions", body), "x-request-class", "chat")
}

/// A chat request for a streamed answer.
pub(crate) fn streamed_chat() -> ClientRequest {
    let body = r#"{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}"#;
    with_header(post("/v1/chat/completions", body), "x-request-class", "chat")
}

pub(crate) fn lookup() -> ClientRequest {
    north_request("/lookup/clip-7")
}

/// An order without an idempotency key.
pub(crate) fn keyless_order() -> ClientRequest {
    post("/orders", ORDER_BODY)
}

pub(crate) fn order(key: &str) -> ClientRequest {
    with_header(keyless_order(), "idempotency-key", key)
}

/// A ledger that grants every claim, after an optional delay of the test's clock.
#[derive(Clone, Default)]
pub(crate) struct GrantingLedger {
    pub(crate) released: Rc<Cell<usize>>,
    /// Advances the clock before a claim is granted.
    pub(crate) delay: Option<Rc<dyn Fn()>>,
}

impl OrderLedger for GrantingLedger {
    fn claim_ttl(&self) -> Duration {
        CLAIM_TTL
    }

    fn claim(
        &self,
        _key: OrderKey,
        _claim: ClaimId,
        _body: BodyHash,
    ) -> LocalBoxFuture<'static, Result<ClaimResult, LedgerError>> {
        let delay = self.delay.clone();
        async move {
            if let Some(delay) = delay {
                delay();
            }
            Ok(ClaimResult::Granted)
        }
        .boxed_local()
    }

    fn complete(
        &self,
        _key: OrderKey,
        _claim: ClaimId,
        _end: OrderEnd,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>> {
        async { Ok(()) }.boxed_local()
    }

    fn release(
        &self,
        _key: OrderKey,
        _claim: ClaimId,
    ) -> LocalBoxFuture<'static, Result<(), LedgerError>> {
        self.released.set(self.released.get() + 1);
        async { Ok(()) }.boxed_local()
    }
}
