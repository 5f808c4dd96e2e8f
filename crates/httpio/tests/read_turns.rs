//! Connections whose peers always have more to send leave time for others.

mod support;

use std::{
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use httpio::{
    Limits, StatusCode,
    server::{Reply, StopSignals},
};
use monoio::time;

const PEERS: usize = 8;
const TIMERS: usize = 20;
/// Longer than any machine takes for the timers.
const FLOOD_MAX: Duration = Duration::from_secs(60);

/// Sends bodies in the smallest chunks until `is_done`.
fn flood(addr: SocketAddr, is_done: &AtomicBool) {
    let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunks = b"1\r\na\r\n".repeat(10_000);
    let started = Instant::now();
    let is_over = || is_done.load(Ordering::Relaxed) || started.elapsed() > FLOOD_MAX;
    while !is_over() {
        let mut stream = TcpStream::connect(addr).expect("the server listens");
        let _ = stream.write_all(head.as_bytes());
        while !is_over() && stream.write_all(&chunks).is_ok() {}
    }
}

/// Guards against a process that hangs while clients send small chunks without end, since its timers never run.
#[test]
fn timers_run() {
    support::run(async {
        let handler = |_| async { Reply::typed(StatusCode::OK, "text/plain", "ok".into()) };
        let addr = support::serve(Limits::default(), StopSignals::default(), handler);
        let is_done = Arc::new(AtomicBool::new(false));
        for _ in 0..PEERS {
            let is_done = Arc::clone(&is_done);
            thread::spawn(move || flood(addr, &is_done));
        }
        let started = Instant::now();
        for _ in 0..TIMERS {
            time::sleep(Duration::from_millis(1)).await;
        }
        assert!(started.elapsed() < FLOOD_MAX, "the timers ran only after the flood");
        is_done.store(true, Ordering::Relaxed);
    });
}
