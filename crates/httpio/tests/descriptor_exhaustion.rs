//! A server that cannot accept connections, because the process is out of file descriptors, still
//! yields to the other tasks of its thread.

mod support;

use std::{fs::File, io::Write, net::TcpStream, rc::Rc, time::Duration};

use futures::future::{FutureExt, LocalBoxFuture};
use httpio::{
    StatusCode,
    server::{self, Reply, Request, ServerSettings, StopSignals},
};
use monoio::time;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

const DESCRIPTORS_MAX: u64 = 64;

/// Lowers the limit of this process, which runs a single test, and opens files up to it.
fn exhaust_descriptors() -> Vec<File> {
    let limit = Rlimit { current: Some(DESCRIPTORS_MAX), ..getrlimit(Resource::Nofile) };
    setrlimit(Resource::Nofile, limit).expect("the limit can be lowered");
    std::iter::from_fn(|| File::open("/dev/null").ok()).collect()
}

#[test]
fn recovers_from_exhaustion() {
    support::run(async {
        let (listener, addr) = support::listen();
        let mut caller = TcpStream::connect(addr).expect("the backlog accepts");
        caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("the request is written");
        let files = exhaust_descriptors();
        let (called, served) = httpio::signal::signal();
        let called = Rc::new(std::cell::Cell::new(Some(called)));
        let handler = move |_: Request| -> LocalBoxFuture<'static, Reply> {
            called.take().expect("one request").raise();
            async { Reply::typed(StatusCode::OK, "text/plain", "".into()) }.boxed_local()
        };
        let (settings, stop) = (ServerSettings::default(), StopSignals::default());
        monoio::spawn(server::serve(listener, settings, stop, Rc::new(handler)));
        // The server fails to accept, and this task must still be polled to free the descriptors.
        time::sleep(Duration::ZERO).await;
        drop(files);
        served.raised().await;
    });
}
