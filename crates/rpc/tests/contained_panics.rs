//! A call whose handler panics costs its client the connection, and nobody else anything.

#[path = "support/fixed_control.rs"]
mod fixed_control;

use std::{rc::Rc, time::Duration};

use fixed_control::{FixedHandler, run, wait_until_connected};
use futures::future::LocalBoxFuture;
use monoio::net::TcpListener;
use rpc::{
    ByteCounters, ControlHandler, DocumentUpdate, Link, LinkSettings, PeerHandler, ServerList,
    SubmitResult, TablesUpdate, serve,
};

/// Far above what an answer or the end of a connection takes.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A control VM with fixed answers that panics on one command.
struct Panicking;

const PANICKING: &[u8] = b"panic";

impl ControlHandler for Panicking {
    fn submit(&self, token: String, command: Vec<u8>) -> LocalBoxFuture<'static, SubmitResult> {
        assert_ne!(command, PANICKING, "a panic of the handler");
        FixedHandler.submit(token, command)
    }

    fn fetch_servers(&self, held: u64, wait: Duration) -> LocalBoxFuture<'static, ServerList> {
        FixedHandler.fetch_servers(held, wait)
    }

    fn fetch_document(&self, held: u64, wait: Duration) -> LocalBoxFuture<'static, DocumentUpdate> {
        FixedHandler.fetch_document(held, wait)
    }

    fn fetch_tables(
        &self,
        held: u64,
        digest: u64,
        wait: Duration,
    ) -> LocalBoxFuture<'static, TablesUpdate> {
        FixedHandler.fetch_tables(held, digest, wait)
    }

    fn status(&self) -> String {
        FixedHandler.status()
    }

    fn exchange(&self, summary: Vec<u8>) -> Vec<u8> {
        FixedHandler.exchange(summary)
    }

    fn peer(&self, token: &str) -> Option<Rc<dyn PeerHandler>> {
        FixedHandler.peer(token)
    }
}

/// Guards against a panic in one call that ends the server, and with it the process.
#[test]
fn others_served() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        monoio::spawn(serve(
            Default::default(),
            listener,
            Rc::new(Panicking),
            ByteCounters::default(),
        ));
        let links = [(); 2]
            .map(|()| Link::start(LinkSettings { addrs: vec![addr], ..LinkSettings::default() }));
        let failing = wait_until_connected(&links[0]).await;
        let other = wait_until_connected(&links[1]).await;
        let failed = failing.submit("", PANICKING, CALL_TIMEOUT).await;
        assert!(failed.is_err(), "{failed:?}");
        // On the connection that was open all the time, and on a new one once the link has noticed.
        let answer = other.submit("", b"command", CALL_TIMEOUT).await;
        assert!(matches!(answer, Ok(SubmitResult::Response(_))), "{answer:?}");
        while links[0].client().is_ok() {
            monoio::time::sleep(Duration::from_millis(5)).await;
        }
        let renewed = wait_until_connected(&links[0]).await;
        let answer = renewed.submit("", b"command", CALL_TIMEOUT).await;
        assert!(matches!(answer, Ok(SubmitResult::Response(_))), "{answer:?}");
    });
}
