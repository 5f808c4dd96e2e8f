//! Guards against a daemon that is killed for its memory because of bodies that are sent to its admin listener.

use std::rc::Rc;

use daemon::{Admin, Health, admin_server};
use httpio::server::{self, StopSignals};
use monoio::{
    LegacyDriver, RuntimeBuilder,
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::TcpStream,
};
use prometheus::Registry;

/// Half of the largest body, so that the caller still has some to send.
const PART_BYTES: usize = 2 << 20;
const CALLERS: usize = 8;

struct Ready;

impl Health for Ready {
    fn ready(&self) -> Result<String, String> {
        Ok("ready".to_owned())
    }
}

/// Sends a half of a body; returns the status line of the answer.
async fn send_half(mut stream: TcpStream) -> String {
    let head = "POST /readyz HTTP/1.1\r\nhost: a\r\ncontent-length: 4194304\r\n\r\n";
    let request = [head.as_bytes(), &vec![b'a'; PART_BYTES]].concat();
    // The answer shows whether the body was refused before its end.
    let _ = stream.write_all(request).await;
    let (_, answer) = stream.read(Vec::with_capacity(1_024)).await;
    String::from_utf8_lossy(&answer).lines().next().unwrap_or_default().to_owned()
}

#[test]
fn bodies_refused() {
    let builder = RuntimeBuilder::<LegacyDriver>::new().enable_timer();
    builder.build().expect("the runtime builds").block_on(async {
        let listener = server::bind(([127, 0, 0, 1], 0).into()).expect("a free port");
        let addr = listener.local_addr().expect("a bound listener");
        let (settings, admin) = (admin_server(), Admin::new(Registry::new(), Rc::new(Ready)));
        let memory = settings.memory.clone();
        monoio::spawn(server::serve(listener, settings, StopSignals::default(), Rc::new(admin)));
        let mut refused = 0;
        for _ in 0..CALLERS {
            let stream = TcpStream::connect_addr(addr).await.expect("the listener accepts");
            let answer = send_half(stream).await;
            refused += usize::from(answer.starts_with("HTTP/1.1 503 "));
        }
        assert_eq!(refused, CALLERS, "bodies that do not fit");
        assert!(memory.usage().held_bytes <= memory.size().bytes_max);
    });
}
