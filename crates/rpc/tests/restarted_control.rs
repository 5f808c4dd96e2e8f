//! A link to a control VM whose connection ends, as when its process is replaced.

#[path = "support/fixed_control.rs"]
mod fixed_control;

use std::{
    io,
    net::{Shutdown, SocketAddr, TcpListener as StdListener, TcpStream as StdStream},
    rc::Rc,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use fixed_control::{FixedHandler, run, wait_until_connected};
use monoio::{net::TcpListener, time};
use rpc::{ByteCounters, Link, LinkSettings, serve};

/// Longer than the test may take, so that only the end of the connection tells that it has ended.
const NO_HEARTBEAT_MS: u64 = 3_600_000;

/// Forwards connections to a server, and closes them when the test says so.
struct Relay {
    addr: SocketAddr,
    open: Arc<Mutex<Vec<StdStream>>>,
}

impl Relay {
    fn start(server: SocketAddr) -> Relay {
        let listener = StdListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let open = Arc::<Mutex<Vec<StdStream>>>::default();
        let streams = Arc::clone(&open);
        thread::spawn(move || {
            for client in listener.incoming() {
                let client = client.expect("a connection");
                let server = StdStream::connect(server).expect("the server listens");
                for (from, to) in [(&client, &server), (&server, &client)] {
                    let [mut from, mut to] = [from, to].map(|it| it.try_clone().expect("a handle"));
                    thread::spawn(move || io::copy(&mut from, &mut to));
                }
                streams.lock().expect("no panic").extend([client, server]);
            }
        });
        Relay { addr, open }
    }

    fn close_all(&self) {
        for stream in self.open.lock().expect("no panic").drain(..) {
            stream.shutdown(Shutdown::Both).expect("an open connection");
        }
    }
}

/// Guards against a link that keeps a connection that its peer has closed until the next heartbeat.
#[test]
fn end_noticed() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let relay = Relay::start(listener.local_addr().expect("an address"));
        monoio::spawn(serve(
            Default::default(),
            listener,
            Rc::new(FixedHandler),
            ByteCounters::default(),
        ));
        let link = Link::start(LinkSettings {
            addrs: vec![relay.addr],
            heartbeat_interval_ms: NO_HEARTBEAT_MS,
            ..LinkSettings::default()
        });
        for _ in 0..3 {
            wait_until_connected(&link).await;
            relay.close_all();
            while link.client().is_ok() {
                time::sleep(Duration::from_millis(5)).await;
            }
        }
    });
}
