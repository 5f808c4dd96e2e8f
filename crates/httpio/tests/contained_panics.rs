//! A handler that panics costs its caller the connection, and nobody else anything.

mod support;

use std::{cell::Cell, panic, rc::Rc};

use futures::{FutureExt, future::LocalBoxFuture};
use httpio::{
    Limits, StatusCode,
    server::{self, ConnectionBound, Handler, Reply, Request, ServerSettings, StopSignals},
    signal,
};

const PANICKING: &str = "GET /panic HTTP/1.1\r\nhost: a\r\n\r\n";
const HEALTHY: &str = "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

/// More panics than the server has connections, so that it would run out if one kept its slot.
const PANICS: usize = 3;

/// Panics before it returns its future, or within it, by turns.
#[derive(Default)]
struct Panicking(Cell<usize>);

impl Handler for Panicking {
    fn call(&self, request: Request) -> LocalBoxFuture<'static, Reply> {
        let is_panicking = request.uri.path() == "/panic";
        let count = self.0.replace(self.0.get() + usize::from(is_panicking));
        assert!(!is_panicking || count % 2 == 1, "a panic of the handler");
        async move {
            monoio::time::sleep(std::time::Duration::ZERO).await;
            assert!(!is_panicking, "a panic of the handler's future");
            Reply::whole(StatusCode::OK, Default::default(), "served".into())
        }
        .boxed_local()
    }
}

/// Guards against a panic of one handler that ends the server, and with it the process.
#[test]
fn others_served() {
    // Before, the panic left this call.
    let result = panic::catch_unwind(|| {
        support::run(async {
            let handler = Rc::new(Panicking::default());
            let addr = support::serve(Limits::default(), StopSignals::default(), move |req| {
                handler.call(req)
            });
            for _ in 0..PANICS {
                assert_eq!(support::raw_exchange(addr, PANICKING).await, "");
                let answer = support::raw_exchange(addr, HEALTHY).await;
                assert!(answer.ends_with("served"), "{answer}");
            }
        });
    });
    assert!(result.is_ok(), "the panic of a handler ended the server");
}

/// Guards against a panic that keeps its connection's slot, so that a server at its bound accepts no
/// more connections, or never ends.
#[test]
fn slot_released() {
    support::run(async {
        let (listener, addr) = support::listen();
        let settings =
            ServerSettings { connections: ConnectionBound(1), ..ServerSettings::default() };
        let (close, closing) = signal::signal();
        let stop = StopSignals { closing, ..StopSignals::default() };
        let handler = Rc::new(Panicking::default());
        let served = monoio::spawn(server::serve(listener, settings, stop, handler));
        for _ in 0..PANICS {
            assert_eq!(support::raw_exchange(addr, PANICKING).await, "");
        }
        let answer = support::raw_exchange(addr, HEALTHY).await;
        assert!(answer.ends_with("served"), "{answer}");
        close.raise();
        served.await;
    });
}
