//! A shutdown completes the requests in flight, and a draining server asks callers to close their
//! connections.

mod support;

use std::{cell::Cell, rc::Rc};

use futures::{FutureExt, StreamExt, channel::mpsc, future::LocalBoxFuture};
use httpio::{
    Limits, StatusCode, UnsizedBody,
    client::Connection,
    server::{self, Reply, Request, ServerSettings, StopSignals},
    signal,
};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};

const LIMITS: Limits = Limits {
    closing_grace_ms: 0,
    head_bytes: 4096,
    header_count: 64,
    body_bytes: 4096,
    chunk_bytes: 4096,
    connect_timeout_ms: 1_000,
    head_timeout_ms: 30_000,
    idle_timeout_ms: 30_000,
    write_timeout_ms: 30_000,
    keep_alive_ms: 60_000,
    body_timeout_ms: 1_000,
    unsized_body: UnsizedBody::Refused,
};

fn ok() -> Reply {
    Reply::typed(StatusCode::OK, "text/plain", "done".into())
}

#[test]
fn completes_in_flight() {
    support::run(async {
        let (close, closing) = signal::signal();
        let (started, mut started_calls) = mpsc::unbounded::<()>();
        let (release, released) = signal::signal();
        let handler = move |_: Request| -> LocalBoxFuture<'static, Reply> {
            started.unbounded_send(()).expect("the test waits");
            let released = released.clone();
            async move {
                released.raised().await;
                ok()
            }
            .boxed_local()
        };
        let (listener, addr) = support::listen();
        let stop = StopSignals { closing, ..StopSignals::default() };
        let settings = ServerSettings { limits: LIMITS.into(), ..ServerSettings::default() };
        let ended = Rc::new(Cell::new(false));
        let flag = Rc::clone(&ended);
        let served = monoio::spawn(async move {
            server::serve(listener, settings, stop, Rc::new(handler)).await;
            flag.set(true);
        });
        let mut idle = TcpStream::connect_addr(addr).await.expect("the server accepts");
        let busy = Connection::open(addr, LIMITS).await.expect("the server accepts");
        let answer =
            monoio::spawn(async move { support::text(busy.send(support::get("/")).await).await });
        started_calls.next().await;

        close.raise();
        // The server closes the idle connection but not the busy one.
        assert_eq!(idle.read(vec![0; 1]).await.0.expect("an orderly shutdown"), 0);
        assert!(!ended.get());
        release.raise();

        assert_eq!(answer.await, "200 OK: done");
        served.await;
        assert!(Connection::open(addr, LIMITS).await.is_err());
    });
}

/// The head of this reply is sent before the shutdown and does not ask the caller to close the
/// connection. The server closes it after the reply, without waiting for the closing grace.
#[test]
fn streamed_reply_closes() {
    support::run(async {
        let (close, closing) = signal::signal();
        let (release, released) = signal::signal();
        let stop = StopSignals { closing, ..StopSignals::default() };
        let limits = Limits { closing_grace_ms: 600_000, ..LIMITS };
        let handler = move |_: Request| -> LocalBoxFuture<'static, Reply> {
            let (mut sender, reply) = Reply::stream(StatusCode::OK, Default::default(), 1);
            let released = released.clone();
            monoio::spawn(async move {
                sender.send("first".into()).await.expect("the caller reads");
                released.raised().await;
                sender.finish().await.expect("the caller reads");
            });
            async { reply }.boxed_local()
        };
        let (listener, addr) = support::listen();
        let settings = ServerSettings { limits: limits.into(), ..ServerSettings::default() };
        monoio::spawn(server::serve(listener, settings, stop, Rc::new(handler)));
        let mut caller = TcpStream::connect_addr(addr).await.expect("the server accepts");
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec();
        caller.write_all(request).await.0.expect("the request is written");
        assert!(caller.read(vec![0; 4096]).await.0.expect("a response head") > 0);
        close.raise();
        release.raise();
        // Reads the rest of the reply, up to the end of the connection.
        while caller.read(vec![0; 4096]).await.0.expect("an orderly shutdown") > 0 {}
    });
}

#[test]
fn drains_keep_alive() {
    support::run(async {
        let (drain, draining) = signal::signal();
        let stop = StopSignals { draining, ..StopSignals::default() };
        let addr = support::serve(LIMITS, stop, async |_| ok());
        let pool = support::pool(LIMITS);

        support::text(pool.send(addr, support::get("/")).await).await;
        assert_eq!(pool.idle_count(addr), 1);
        drain.raise();
        assert_eq!(support::text(pool.send(addr, support::get("/")).await).await, "200 OK: done");
        assert_eq!(pool.idle_count(addr), 0);
    });
}

#[test]
fn connection_limit() {
    support::run(async {
        let (listener, addr) = support::listen();
        let connections = server::ConnectionBound(1);
        let settings =
            ServerSettings { limits: LIMITS.into(), connections, ..ServerSettings::default() };
        let handler =
            |_: Request| -> LocalBoxFuture<'static, Reply> { async { ok() }.boxed_local() };
        monoio::spawn(server::serve(listener, settings, StopSignals::default(), Rc::new(handler)));
        let first = Connection::open(addr, LIMITS).await.expect("the server accepts");
        let second = Connection::open(addr, LIMITS).await.expect("the backlog accepts");
        let mut second = Box::pin(second.send(support::get("/")));
        let answer = support::text(first.send(support::get("/")).await);
        futures::pin_mut!(answer);
        // The second connection is served only after the first one has closed.
        let completed = futures::future::select(&mut second, answer).await;
        assert!(matches!(completed, futures::future::Either::Right(_)));
        assert_eq!(support::text(second.await).await, "200 OK: done");
    });
}
