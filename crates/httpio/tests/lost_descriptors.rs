//! A server without descriptors for new connections leaves the others their turns.

mod support;

use std::{fs::File, io::Write, net::TcpStream, rc::Rc, time::Duration};

use futures::future::{FutureExt, LocalBoxFuture};
use httpio::{
    StatusCode,
    server::{self, Reply, Request, ServerSettings, StopSignals},
};
use monoio::time;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

const DESCRIPTORS: u64 = 64;

/// Lowers the bound of this process, which has one test, and opens files up to it.
fn take_all_descriptors() -> Vec<File> {
    let bound = Rlimit { current: Some(DESCRIPTORS), ..getrlimit(Resource::Nofile) };
    setrlimit(Resource::Nofile, bound).expect("a bound may be lowered");
    std::iter::from_fn(|| File::open("/dev/null").ok()).collect()
}

#[test]
fn served_once_freed() {
    support::run(async {
        let (listener, addr) = support::listen();
        let mut caller = TcpStream::connect(addr).expect("the backlog takes it");
        caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("the request is taken");
        let files = take_all_descriptors();
        let (called, served) = httpio::signal::signal();
        let called = Rc::new(std::cell::Cell::new(Some(called)));
        let handler = move |_: Request| -> LocalBoxFuture<'static, Reply> {
            called.take().expect("one request").raise();
            async { Reply::typed(StatusCode::OK, "text/plain", "".into()) }.boxed_local()
        };
        let (settings, stop) = (ServerSettings::default(), StopSignals::default());
        monoio::spawn(server::serve(listener, settings, stop, Rc::new(handler)));
        // The server fails to accept, and this task still gets its turn to free descriptors.
        time::sleep(Duration::ZERO).await;
        drop(files);
        served.raised().await;
    });
}
