//! A server with as many connections as it may have makes room by ending those that do not use theirs.

mod support;

use std::{cell::RefCell, rc::Rc, time::Duration};

use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Limits, StatusCode,
    client::Connection,
    server::{
        self, ConnectionBound, Handler, Reply, Request, ServerSettings, StopSignals, StreamSender,
    },
};
use monoio::{io::AsyncWriteRentExt, net::TcpStream, time};

const CONNECTIONS: usize = 2;
/// Keeps a broken test from hanging.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Answers with a stream of which the test holds the sender, for the path `/stream`.
#[derive(Default)]
struct Answers {
    streams: RefCell<Vec<StreamSender>>,
}

impl Handler for Answers {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        let reply = if request.uri.path() == "/stream" {
            let (sender, reply) = Reply::stream(StatusCode::OK, Default::default(), 1);
            self.streams.borrow_mut().push(sender);
            reply
        } else {
            Reply::typed(StatusCode::OK, "text/plain", "ok".into())
        };
        async { reply }.boxed_local()
    }
}

fn start() -> (std::net::SocketAddr, Rc<Answers>) {
    let (listener, addr) = support::listen();
    let answers = Rc::new(Answers::default());
    let connections = ConnectionBound(CONNECTIONS);
    let settings = ServerSettings { connections, ..ServerSettings::default() };
    let handler = Rc::clone(&answers);
    monoio::spawn(server::serve(listener, settings, StopSignals::default(), handler));
    (addr, answers)
}

async fn open_with(addr: std::net::SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect_addr(addr).await.expect("the server listens");
    stream.write_all(bytes.to_owned().into_bytes()).await.0.expect("the bytes are written");
    stream
}

/// Sends a request on a connection of its own.
async fn ask(addr: std::net::SocketAddr) -> String {
    let asked = async {
        let connection = Connection::open(addr, Limits::default()).await.expect("it listens");
        support::text(connection.send(support::get("/")).await).await
    };
    time::timeout(WAIT_TIMEOUT, asked).await.expect("the request is served")
}

/// Guards against connections without a request that keep others out.
#[test]
fn idle_ended() {
    support::run(async {
        let (addr, _) = start();
        let mut idle = Vec::new();
        for _ in 0..2 * CONNECTIONS {
            idle.push(open_with(addr, "").await);
        }
        assert_eq!(ask(addr).await, "200 OK: ok");
        assert_eq!(support::read_to_end(idle.remove(0)).await, "");
    });
}

/// Guards against requests that stop before their end and keep others out. They have not run, and are told so.
#[test]
fn stalled_ended() {
    support::run(async {
        let (addr, _) = start();
        let part = "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\na";
        let mut stalled = Vec::new();
        for _ in 0..CONNECTIONS {
            stalled.push(open_with(addr, part).await);
        }
        assert_eq!(ask(addr).await, "200 OK: ok");
        let answer = support::read_to_end(stalled.remove(0)).await;
        assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    });
}

/// Guards against an answer that is cut because others wait for a connection.
#[test]
fn answers_kept() {
    support::run(async {
        let (addr, answers) = start();
        let get = "GET /stream HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        let mut streams = Vec::new();
        for _ in 0..CONNECTIONS {
            streams.push(open_with(addr, get).await);
        }
        while answers.streams.borrow().len() < CONNECTIONS {
            time::sleep(Duration::from_millis(1)).await;
        }
        let mut asked = ask(addr).boxed_local();
        // Longer than a request may stall.
        let waited = time::timeout(Duration::from_secs(2), &mut asked).await;
        assert!(waited.is_err(), "an answer was cut: {waited:?}");
        let senders = std::mem::take(&mut *answers.streams.borrow_mut());
        for mut sender in senders {
            sender.send("whole".into()).await.expect("the stream is open");
            sender.finish().await.expect("the stream is open");
        }
        assert_eq!(asked.await, "200 OK: ok");
        for stream in streams {
            let answer = support::read_to_end(stream).await;
            assert!(answer.ends_with("\r\n5\r\nwhole\r\n0\r\n\r\n"), "{answer}");
        }
    });
}
