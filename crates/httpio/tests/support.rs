//! Runtime, test servers and formatting that the tests share.
#![allow(dead_code)]

use std::{cell::Cell, future::Future, net::SocketAddr, rc::Rc};

use clock::SystemClock;
use futures::future::LocalBoxFuture;
use httpio::{
    Limits,
    client::{ClientError, Pool, PoolSettings, Request as ClientRequest, Response},
    server::{self, Reply, Request, ServerSettings, StopSignals},
};
use monoio::{
    LegacyDriver, RuntimeBuilder,
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
};

pub(crate) fn run(test: impl Future<Output = ()>) {
    RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("the runtime builds")
        .block_on(test);
}

pub(crate) fn any_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

pub(crate) fn listen() -> (TcpListener, SocketAddr) {
    let listener = server::bind(any_port()).expect("a free port");
    let addr = listener.local_addr().expect("a bound listener");
    (listener, addr)
}

/// Serves `handler` until the test ends.
pub(crate) fn serve<F, Fut>(limits: Limits, stop: StopSignals, handler: F) -> SocketAddr
where
    F: Fn(Request) -> Fut + 'static,
    Fut: Future<Output = Reply> + 'static,
{
    let (listener, addr) = listen();
    let settings = ServerSettings { limits: limits.into(), ..ServerSettings::default() };
    let handler = move |req| -> LocalBoxFuture<'static, Reply> { Box::pin(handler(req)) };
    monoio::spawn(server::serve(listener, settings, stop, Rc::new(handler)));
    addr
}

/// Writes `reply` verbatim after the first read of each connection, and then closes the connection.
/// Returns the count of accepted connections as well.
pub(crate) fn raw_server(reply: impl Into<Vec<u8>>) -> (SocketAddr, Rc<Cell<usize>>) {
    let (listener, addr) = listen();
    let (reply, count) = (reply.into(), Rc::new(Cell::new(0)));
    let accepted = Rc::clone(&count);
    monoio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted.set(accepted.get() + 1);
            let _ = stream.read(Vec::with_capacity(4096)).await;
            let _ = stream.write_all(reply.clone()).await;
        }
    });
    (addr, count)
}

/// Writes one of `replies` verbatim after each read of a connection, and closes the connection behind the
/// last one. Returns the count of accepted connections as well.
pub(crate) fn raw_server_of(replies: Vec<&'static str>) -> (SocketAddr, Rc<Cell<usize>>) {
    let (listener, addr) = listen();
    let count = Rc::new(Cell::new(0));
    let accepted = Rc::clone(&count);
    monoio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            accepted.set(accepted.get() + 1);
            for reply in &replies {
                let _ = stream.read(Vec::with_capacity(4096)).await;
                let _ = stream.write_all(reply.as_bytes()).await;
            }
        }
    });
    (addr, count)
}

/// Sends `bytes` and reads until the server closes the connection.
pub(crate) async fn raw_exchange(addr: SocketAddr, bytes: impl Into<Vec<u8>>) -> String {
    let mut stream = TcpStream::connect_addr(addr).await.expect("the server listens");
    stream.write_all(bytes.into()).await.0.expect("the request is written");
    read_to_end(stream).await
}

/// Reads until the server closes the connection.
pub(crate) async fn read_to_end(mut stream: TcpStream) -> String {
    let mut all = Vec::new();
    loop {
        let (result, chunk) = stream.read(Vec::with_capacity(4096)).await;
        match result {
            Ok(0) | Err(_) => return String::from_utf8_lossy(&all).into_owned(),
            Ok(_) => all.extend(chunk),
        }
    }
}

pub(crate) fn pool(limits: Limits) -> Pool {
    let settings = PoolSettings { limits, ..PoolSettings::default() };
    Pool::new(settings, Rc::new(SystemClock))
}

pub(crate) fn get(path: &'static str) -> ClientRequest {
    ClientRequest { uri: path.parse().expect("a path"), ..ClientRequest::default() }
}

pub(crate) async fn text(response: Result<Response, ClientError>) -> String {
    match response {
        Ok(response) => {
            let status = response.head.status;
            match response.body.collect().await {
                Ok(body) => format!("{status}: {}", String::from_utf8_lossy(&body)),
                Err(error) => format!("{status}, then {error}"),
            }
        }
        Err(error) => error.to_string(),
    }
}
