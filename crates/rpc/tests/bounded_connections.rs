//! A server at its bound of connections.

#[path = "support/fixed_control.rs"]
mod fixed_control;

use std::{rc::Rc, time::Duration};

use fixed_control::{FixedHandler, run};
use monoio::net::TcpListener;
use rpc::{ByteCounters, Connection, ServerSettings, dial, serve};

const CONNECTIONS_MAX: usize = 2;
/// Far above what an answer takes.
const TIMEOUT: Duration = Duration::from_secs(30);
/// A connection that is not accepted has no answer however long one waits.
const SHORT_WAIT: Duration = Duration::from_millis(300);

/// Guards against clients that open connections until the memory of a control VM is used up, and against a
/// bound that keeps the room of closed connections.
#[test]
fn further_ones_wait() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let (handler, counters) = (Rc::new(FixedHandler), ByteCounters::default());
        let settings = ServerSettings { connections_max: CONNECTIONS_MAX, ..Default::default() };
        monoio::spawn(serve(settings, listener, handler, counters));
        let open = async || -> Connection {
            dial(addr, TIMEOUT, &ByteCounters::default()).await.expect("the system accepts")
        };
        let (first, second) = (open().await, open().await);
        for connection in [&first, &second] {
            connection.client.ping(TIMEOUT).await.expect("an answer");
        }
        let mut kept = Vec::new();
        for served in [first, second] {
            let further = open().await;
            further.client.ping(SHORT_WAIT).await.expect_err("there is no room");
            drop(served);
            further.client.ping(TIMEOUT).await.expect("an answer once there is room");
            kept.push(further);
        }
    });
}
