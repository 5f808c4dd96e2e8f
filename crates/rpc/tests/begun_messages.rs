//! Messages that begin and do not come.

#[path = "support/fixed_control.rs"]
mod fixed_control;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use byte_budget::{BudgetSize, ByteBudget};
use fixed_control::{FixedHandler, run};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
    time,
};
use rpc::{ByteCounters, MessageLimits, ServerSettings, dial, serve};

const MESSAGE_BYTES_MAX: usize = 1 << 20;
const SIZE: BudgetSize = BudgetSize { bytes_max: 256 << 10, small_bytes: 64 << 10 };
/// Far above what an answer takes.
const TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(1);

fn start() -> (SocketAddr, ByteBudget) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let memory = ByteBudget::new(SIZE);
    let messages = MessageLimits {
        message_bytes_max: MESSAGE_BYTES_MAX,
        memory: memory.clone(),
        stall_timeout_ms: 300,
        memory_timeout_ms: 500,
    };
    let settings = ServerSettings { messages, ..ServerSettings::default() };
    monoio::spawn(serve(settings, listener, Rc::new(FixedHandler), ByteCounters::default()));
    (addr, memory)
}

/// Sends the head of a message with one segment of this size.
async fn begin(addr: SocketAddr, bytes: usize) -> TcpStream {
    let words = u32::try_from(bytes / 8).expect("a small message").to_le_bytes();
    let head = [[0; 4], words].concat();
    let mut stream = TcpStream::connect_addr(addr).await.expect("the server listens");
    stream.write_all(head).await.0.expect("the head is written");
    stream
}

/// Whether the server closes the connection, which it may tell before.
async fn is_closed(mut stream: TcpStream) -> bool {
    let closed = async { while let (Ok(1..), _) = stream.read(vec![0; 256]).await {} };
    time::timeout(TIMEOUT, closed).await.is_ok()
}

/// Guards against a control VM that is killed because it allocates each message that is begun.
#[test]
fn held_within_budget() {
    run(async {
        let (addr, memory) = start();
        let mut begun = Vec::new();
        for _ in 0..20 {
            begun.push(begin(addr, 200 << 10).await);
        }
        while memory.usage().held_bytes == 0 {
            time::sleep(POLL_INTERVAL).await;
        }
        let connection = dial(addr, TIMEOUT, &ByteCounters::default()).await.expect("accepted");
        connection.client.ping(TIMEOUT).await.expect("an answer to a small message");
        // One message beside the budget may exceed it.
        assert!(memory.usage().held_bytes <= 2 * (200 << 10) + SIZE.small_bytes);
        for stream in begun {
            assert!(is_closed(stream).await, "a message that does not come keeps its connection");
        }
        assert_eq!(memory.usage().held_bytes, 0);
    });
}

/// Guards against messages that are larger than the memory for them.
#[test]
fn too_large() {
    run(async {
        let (addr, memory) = start();
        for bytes in [MESSAGE_BYTES_MAX, usize::MAX >> 32] {
            assert!(is_closed(begin(addr, bytes).await).await, "{bytes} bytes");
        }
        assert_eq!(memory.usage().held_bytes, 0);
    });
}

/// Guards against connections that are kept although nothing comes on them.
#[test]
fn silent_from_start() {
    run(async {
        let (addr, _) = start();
        let stream = TcpStream::connect_addr(addr).await.expect("the server listens");
        let used = dial(addr, TIMEOUT, &ByteCounters::default()).await.expect("accepted");
        used.client.ping(TIMEOUT).await.expect("an answer");
        assert!(is_closed(stream).await, "a silent connection is kept");
        used.client.ping(TIMEOUT).await.expect("a used connection is kept");
    });
}
