//! What bodies take of the process's memory is what they are charged, however they grow.

mod support;

use std::{cell::RefCell, fs, rc::Rc};

use futures::{
    FutureExt,
    future::{LocalBoxFuture, join_all},
};
use httpio::{
    Bytes, StatusCode,
    budget::ByteBudget,
    server::{self, Reply, Request, ServerSettings, StopSignals},
};
use monoio::{io::AsyncWriteRentExt, net::TcpStream};

const BODIES: usize = 12;
const BODY_BYTES: usize = 4 << 20;
const CHUNK_BYTES: usize = 64 << 10;
const ROUNDS: usize = 3;
/// What the process may take beside the bodies: connections, buffers and what the test itself sends.
const BESIDE_BYTES: u64 = 4 << 20;

fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("this process has a status");
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).expect("a line");
    let kib = line.trim().strip_suffix(" kB").and_then(|it| it.trim().parse::<u64>().ok());
    kib.expect("a number") << 10
}

/// Sends a body in chunks, whose length is not declared.
async fn send(addr: std::net::SocketAddr) {
    let mut stream = TcpStream::connect_addr(addr).await.expect("the server listens");
    let head =
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes().to_vec()).await.0.expect("the head is written");
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "a".repeat(CHUNK_BYTES));
    for _ in 0..BODY_BYTES / CHUNK_BYTES {
        stream.write_all(chunk.clone().into_bytes()).await.0.expect("a chunk is written");
    }
    stream.write_all(b"0\r\n\r\n".to_vec()).await.0.expect("the end is written");
    support::read_to_end(stream).await;
}

/// Guards against a process that is killed because its allocator keeps back what bodies have left as they grew.
#[test]
fn as_charged() {
    support::run(async {
        let (listener, addr) = support::listen();
        let memory = ByteBudget::default();
        let kept: Rc<RefCell<Vec<Bytes>>> = Rc::default();
        let bodies = Rc::clone(&kept);
        let handler = move |req: Request| -> LocalBoxFuture<'static, Reply> {
            bodies.borrow_mut().push(req.body);
            async { Reply::typed(StatusCode::OK, "text/plain", "kept".into()) }.boxed_local()
        };
        let settings = ServerSettings { memory: memory.clone(), ..ServerSettings::default() };
        monoio::spawn(server::serve(listener, settings, StopSignals::default(), Rc::new(handler)));
        send(addr).await;
        kept.borrow_mut().clear();
        let before = resident_bytes();
        for _ in 0..ROUNDS {
            kept.borrow_mut().clear();
            join_all((0..BODIES).map(|_| send(addr))).await;
            let held = memory.usage().held_bytes as u64;
            let taken = resident_bytes().saturating_sub(before);
            println!("{} KiB taken for {} KiB", taken >> 10, held >> 10);
            assert_eq!(kept.borrow().len(), BODIES);
            assert!(taken <= held + BESIDE_BYTES, "{taken} bytes are taken for {held}");
        }
    });
}
