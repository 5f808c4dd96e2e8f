//! What messages hold in memory is charged to a budget, and returned on every path.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Bytes, Limits, Method, StatusCode,
    budget::{BudgetSize, ByteBudget, SMALL_MESSAGE_BYTES},
    client::{Connection, Request as ClientRequest, Response},
    server::{self, Reply, Request, ServerSettings, StopSignals},
};
use monoio::{io::AsyncWriteRentExt, net::TcpStream, time};

const KIB: usize = 1 << 10;
const SIZE: BudgetSize = BudgetSize { bytes_max: 512 * KIB, small_bytes: 128 * KIB };
const LARGE_BYTES: usize = 300 * KIB;
const ANSWER_BYTES: usize = 200 * KIB;
/// Keeps a broken test from hanging.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A server that keeps the bodies of its requests until the test drops them.
struct KeepingServer {
    addr: std::net::SocketAddr,
    memory: ByteBudget,
    bodies: Rc<RefCell<Vec<Bytes>>>,
}

impl KeepingServer {
    fn start(limits: Limits) -> KeepingServer {
        let (listener, addr) = support::listen();
        let memory = ByteBudget::new(SIZE);
        let bodies = Rc::new(RefCell::new(Vec::new()));
        let kept = Rc::clone(&bodies);
        let handler = move |req: Request| -> LocalBoxFuture<'static, Reply> {
            kept.borrow_mut().push(req.body);
            async { Reply::typed(StatusCode::OK, "text/plain", "kept".into()) }.boxed_local()
        };
        let settings = ServerSettings {
            limits: limits.into(),
            memory: memory.clone(),
            ..ServerSettings::default()
        };
        monoio::spawn(server::serve(listener, settings, StopSignals::default(), Rc::new(handler)));
        KeepingServer { addr, memory, bodies }
    }

    async fn post(&self, bytes: usize) -> String {
        let connection = Connection::open(self.addr, Limits::default()).await.expect("it listens");
        support::text(connection.send(post(bytes)).await).await
    }

    /// Sends these bytes and leaves the connection open.
    async fn send_part(&self, bytes: Vec<u8>) -> TcpStream {
        let mut stream = TcpStream::connect_addr(self.addr).await.expect("the server listens");
        stream.write_all(bytes).await.0.expect("the bytes are written");
        stream
    }

    fn held(&self) -> usize {
        self.memory.usage().held_bytes
    }

    async fn wait_until(&self, is_reached: impl Fn(usize) -> bool) {
        let wait = async {
            while !is_reached(self.held()) {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = time::timeout(WAIT_TIMEOUT, wait).await;
        assert!(waited.is_ok(), "{} bytes are charged", self.held());
    }
}

fn post(bytes: usize) -> ClientRequest {
    let body = vec![b'a'; bytes].into();
    ClientRequest { method: Method::POST, body, ..support::get("/") }
}

/// The head of a request with a declared length, and a part of its body.
fn part(declared: usize, sent: usize) -> Vec<u8> {
    let head = format!("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {declared}\r\n\r\n");
    [head.into_bytes(), vec![b'a'; sent]].concat()
}

/// The head of a request in chunks, and a part of its first chunk.
fn chunk_part(declared: usize, sent: usize) -> Vec<u8> {
    let head =
        format!("POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n{declared:x}\r\n");
    [head.into_bytes(), vec![b'a'; sent]].concat()
}

const REFUSED: &str =
    "503 Service Unavailable: there is no memory for the message now; come back later";

/// Guards against a charge that ends before the last user of the body has dropped it, or never.
#[test]
fn charged_while_used() {
    support::run(async {
        let server = KeepingServer::start(Limits::default());
        assert_eq!(server.post(LARGE_BYTES).await, "200 OK: kept");
        assert_eq!(server.held(), LARGE_BYTES);
        assert_eq!(server.post(LARGE_BYTES).await, REFUSED);
        assert_eq!(server.memory.usage().refused, 1);
        server.bodies.borrow_mut().clear();
        assert_eq!(server.held(), 0);
        assert_eq!(server.post(LARGE_BYTES).await, "200 OK: kept");
    });
}

/// Guards against a slow sender that reserves what it has only declared.
#[test]
fn declared_not_charged() {
    support::run(async {
        let server = KeepingServer::start(Limits::default());
        let _slow = server.send_part(part(LARGE_BYTES, 5 * KIB)).await;
        server.wait_until(|held| held >= 5 * KIB).await;
        assert!(server.held() <= 2 * 5 * KIB, "{} are charged", server.held());
        assert_eq!(server.post(LARGE_BYTES).await, "200 OK: kept");
    });
}

/// Guards against a charge that stays when the caller goes away within the body.
#[test]
fn released_after_disconnect() {
    support::run(async {
        let server = KeepingServer::start(Limits::default());
        for request in [part(LARGE_BYTES, LARGE_BYTES - 1), chunk_part(200 * KIB, 199 * KIB)] {
            let stream = server.send_part(request).await;
            server.wait_until(|held| held >= 199 * KIB).await;
            drop(stream);
            server.wait_until(|held| held == 0).await;
        }
    });
}

/// Guards against a charge that stays when the caller sends too slowly.
#[test]
fn released_after_timeout() {
    support::run(async {
        let limits = Limits { body_timeout_ms: 50, ..Limits::default() };
        let server = KeepingServer::start(limits);
        let answer = support::raw_exchange(server.addr, part(LARGE_BYTES, 100 * KIB)).await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
        server.wait_until(|held| held == 0).await;
    });
}

/// Guards against a chunk that is buffered without a charge, and against a refusal that keeps it.
#[test]
fn chunks_charged() {
    support::run(async {
        let server = KeepingServer::start(Limits::default());
        let _first = server.send_part(chunk_part(256 * KIB, 250 * KIB)).await;
        server.wait_until(|held| held >= 250 * KIB).await;
        let answer = support::raw_exchange(server.addr, chunk_part(256 * KIB, 250 * KIB)).await;
        assert!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        assert!(server.held() <= SIZE.bytes_max, "{} are charged", server.held());
        assert!(server.held() >= 250 * KIB, "the first caller keeps its charge");
    });
}

/// Guards against large bodies that keep small ones out, and against large ones in the part of the small.
#[test]
fn small_not_starved() {
    support::run(async {
        let server = KeepingServer::start(Limits::default());
        let large = SIZE.bytes_max - SIZE.small_bytes - 8 * KIB;
        assert_eq!(server.post(large).await, "200 OK: kept");
        assert_eq!(server.post(SMALL_MESSAGE_BYTES + 1).await, REFUSED);
        assert_eq!(server.post(SMALL_MESSAGE_BYTES).await, "200 OK: kept");
        assert_eq!(server.post(SMALL_MESSAGE_BYTES).await, "200 OK: kept");
        assert_eq!(server.post(9 * KIB).await, REFUSED);
        server.bodies.borrow_mut().clear();
        assert_eq!(server.held(), 0);
    });
}

/// Guards against a caller that sends its whole request before it reads, and would find its connection
/// reset instead of the refusal.
#[test]
fn refusal_after_whole_request() {
    support::run(async {
        let server = KeepingServer::start(Limits::default());
        for _ in 0..10 {
            assert_eq!(server.post(4 << 20).await, REFUSED);
        }
        assert_eq!(server.held(), 0);
    });
}

async fn answer(addr: std::net::SocketAddr) -> Response {
    let connection = Connection::open(addr, Limits::default()).await.expect("the server listens");
    connection.send(support::get("/")).await.expect("an answer")
}

/// Guards against answers that are read although there is no room, that never get room although others
/// have ended, and that wait for one another for ever. One at a time may exceed the budget.
async fn check_waiting_answers(addr: std::net::SocketAddr) {
    let memory = ByteBudget::new(SIZE);
    let collect = async || answer(addr).await.body.collect_within(&memory).await.expect("a body");
    let (first, second) = (collect().await, collect().await);
    let held = memory.usage().held_bytes;
    assert!(held >= 2 * ANSWER_BYTES);
    let mut third = std::pin::pin!(collect());
    assert!(time::timeout(Duration::from_millis(50), &mut third).await.is_err());
    assert_eq!(memory.usage().held_bytes, held, "nothing is read without room");
    drop(first);
    let third = time::timeout(WAIT_TIMEOUT, third).await.expect("there is room again");
    assert_eq!(third.len(), ANSWER_BYTES);
    drop((second, third));
    assert_eq!(memory.usage().held_bytes, 0);
}

#[test]
fn waiting_answers() {
    support::run(async {
        let addr = support::serve(Limits::default(), StopSignals::default(), async |_| {
            Reply::typed(StatusCode::OK, "text/plain", vec![b'a'; ANSWER_BYTES].into())
        });
        check_waiting_answers(addr).await;
    });
}

/// As above, for answers that do not declare their length.
#[test]
fn waiting_chunked_answers() {
    support::run(async {
        let addr = support::serve(Limits::default(), StopSignals::default(), async |_| {
            let (mut sender, reply) = Reply::stream(StatusCode::OK, Default::default(), 8);
            monoio::spawn(async move {
                for _ in 0..ANSWER_BYTES / (10 * KIB) {
                    if sender.send(vec![b'a'; 10 * KIB].into()).await.is_err() {
                        return;
                    }
                }
                // The reader may have gone.
                let _ = sender.finish().await;
            });
            reply
        });
        check_waiting_answers(addr).await;
    });
}

/// Guards against large heads that are buffered without a charge, and keep it when their caller goes away.
#[test]
fn heads_charged() {
    support::run(async {
        let server = KeepingServer::start(Limits::default());
        let head = format!("GET / HTTP/1.1\r\nhost: a\r\nx-a: {}", "a".repeat(14 * KIB));
        let count = 2 * SIZE.bytes_max / head.len();
        let mut streams = Vec::new();
        for _ in 0..count {
            streams.push(server.send_part(head.clone().into_bytes()).await);
        }
        // Large heads leave the part for small messages free.
        let large_bytes_max = SIZE.bytes_max - SIZE.small_bytes;
        server.wait_until(|held| held >= large_bytes_max - head.len()).await;
        while server.memory.usage().refused == 0 {
            time::sleep(POLL_INTERVAL).await;
        }
        assert!(server.held() <= large_bytes_max);
        assert_eq!(server.post(0).await, "200 OK: kept", "a small head needs no room");
        drop(streams);
        server.wait_until(|held| held == 0).await;
        let answer =
            support::raw_exchange(server.addr, format!("{head}\r\nconnection: close\r\n\r\n"))
                .await;
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        server.wait_until(|held| held == 0).await;
    });
}

/// Guards against requests that stop before their end and keep the memory that others need.
#[test]
fn stalled_make_room() {
    support::run(async {
        let server = KeepingServer::start(Limits::default());
        let _stalled = server.send_part(part(LARGE_BYTES, LARGE_BYTES - 1)).await;
        server.wait_until(|held| held > 0).await;
        let served = async {
            // Each refusal may free the memory for the next request.
            while server.post(LARGE_BYTES).await == REFUSED {
                time::sleep(POLL_INTERVAL).await;
            }
        };
        let served = time::timeout(WAIT_TIMEOUT, served).await;
        assert!(served.is_ok(), "{} bytes are charged", server.held());
    });
}
