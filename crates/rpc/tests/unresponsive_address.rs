//! A link that gets no answer from one address connects to the next one.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use futures::{FutureExt, future::LocalBoxFuture};
use monoio::{LegacyDriver, RuntimeBuilder, net::TcpListener};
use rpc::{
    ByteCounters, ControlHandler, DocumentUpdate, Link, LinkSettings, PeerHandler, ServerList,
    SubmitResult, TablesUpdate, serve,
};

struct FixedHandler;

impl ControlHandler for FixedHandler {
    fn fetch_servers(&self, _: u64, _: Duration) -> LocalBoxFuture<'static, ServerList> {
        async { ServerList::default() }.boxed_local()
    }

    fn fetch_document(&self, _: u64, _: Duration) -> LocalBoxFuture<'static, DocumentUpdate> {
        async { DocumentUpdate { controls: Vec::new(), has_leader: true, document: None } }
            .boxed_local()
    }

    fn fetch_tables(
        &self,
        held: u64,
        _: u64,
        _: Duration,
    ) -> LocalBoxFuture<'static, TablesUpdate> {
        let snapshot = TablesUpdate::Snapshot {
            revision: held + 1,
            routes: "[chat]".to_owned(),
            pools: String::new(),
            confirmed: true,
        };
        async { snapshot }.boxed_local()
    }

    fn submit(&self, _: String, command: Vec<u8>) -> LocalBoxFuture<'static, SubmitResult> {
        async { SubmitResult::Response(command) }.boxed_local()
    }

    fn status(&self) -> String {
        "{}".to_owned()
    }

    fn exchange(&self, summary: Vec<u8>) -> Vec<u8> {
        summary
    }

    fn peer(&self, _: &str) -> Option<Rc<dyn PeerHandler>> {
        None
    }
}

/// Binds a listener on which connections are established but never answered.
fn unresponsive_listener() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    (listener.local_addr().expect("an address"), listener)
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder.build().expect("a runtime").block_on(future)
}

async fn wait_until_connected(link: &Link) -> rpc::ControlClient {
    loop {
        if let Ok(client) = link.client() {
            return client;
        }
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[test]
fn skips_unresponsive_address() {
    run(async {
        let (unresponsive, _listener) = unresponsive_listener();
        let healthy = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let healthy_addr = healthy.local_addr().expect("an address");
        monoio::spawn(serve(healthy, Rc::new(FixedHandler), ByteCounters::default()));
        let link = Link::start(LinkSettings {
            addrs: vec![unresponsive, healthy_addr],
            connect_timeout_ms: 50,
            ..LinkSettings::default()
        });

        let client = wait_until_connected(&link).await;

        assert_eq!(client.addr(), healthy_addr);
        let update = client.fetch_tables(3, 0, Duration::ZERO).await.expect("an update");
        assert!(matches!(update, TablesUpdate::Snapshot { revision: 4, .. }));
        assert!(link.counters().sent_bytes() > 0);
        assert!(client.peer("wrong").await.is_err());
    });
}

#[test]
fn not_connected() {
    run(async {
        let link = Link::start(LinkSettings::default());
        assert!(link.client().is_err());
    });
}
