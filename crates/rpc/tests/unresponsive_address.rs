//! A link that gets no answer from one address connects to the next one.

#[path = "support/fixed_control.rs"]
mod fixed_control;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use fixed_control::{FixedHandler, run, wait_until_connected};
use monoio::net::TcpListener;
use rpc::{ByteCounters, Link, LinkSettings, TablesUpdate, serve};

/// Binds a listener on which connections are established but never answered.
fn unresponsive_listener() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    (listener.local_addr().expect("an address"), listener)
}

#[test]
fn skips_unresponsive_address() {
    run(async {
        let (unresponsive, _listener) = unresponsive_listener();
        let healthy = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let healthy_addr = healthy.local_addr().expect("an address");
        monoio::spawn(serve(
            Default::default(),
            healthy,
            Rc::new(FixedHandler),
            ByteCounters::default(),
        ));
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
