//! A chunked body is received whole, however it is divided into chunks and however these arrive.

mod support;

use std::{cell::RefCell, rc::Rc};

use httpio::{
    Limits, StatusCode,
    server::{Reply, StopSignals},
};
use monoio::{io::AsyncWriteRentExt, net::TcpStream};
use proptest::prelude::*;

/// A body in chunks of these sizes, each of whose bytes tells its place.
fn chunked(sizes: &[usize]) -> (Vec<u8>, Vec<u8>) {
    let (mut body, mut encoded) = (Vec::new(), Vec::new());
    for size in sizes {
        let data: Vec<_> = (body.len()..body.len() + size).map(|it| it as u8).collect();
        encoded.extend(format!("{size:x}\r\n").into_bytes());
        encoded.extend(&data);
        encoded.extend(b"\r\n");
        body.extend(data);
    }
    encoded.extend(b"0\r\n\r\n");
    (body, encoded)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn any_chunks(
        sizes in prop::collection::vec(prop_oneof![4 => 1..4usize, 1 => 1..6_000usize], 0..400),
        piece_bytes in 1..5_000usize,
    ) {
        let (body, encoded) = chunked(&sizes);
        let received = Rc::new(RefCell::new(Vec::new()));
        let bodies = Rc::clone(&received);
        support::run(async move {
            let handler = move |req: httpio::server::Request| {
                bodies.borrow_mut().push(req.body.to_vec());
                async { Reply::typed(StatusCode::OK, "text/plain", "ok".into()) }
            };
            let addr = support::serve(Limits::default(), StopSignals::default(), handler);
            let head = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
            let last = b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 4\r\n\r\nlast";
            let bytes = [&head[..], &encoded, last].concat();
            let mut stream = TcpStream::connect_addr(addr).await.expect("the server listens");
            for piece in bytes.chunks(piece_bytes) {
                stream.write_all(piece.to_vec()).await.0.expect("the request is written");
            }
            support::read_to_end(stream).await;
        });
        prop_assert_eq!(&*received.borrow(), &[body, b"last".to_vec()]);
    }
}

/// A fault is noticed behind complete chunks that arrived with it.
#[test]
fn fault_behind_data() {
    support::run(async {
        let handler = |_| async { Reply::typed(StatusCode::OK, "text/plain", "ok".into()) };
        let addr = support::serve(Limits::default(), StopSignals::default(), handler);
        let head = "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
        let answer = support::raw_exchange(addr, format!("{head}1\r\na\r\n1\r\nb\r\nz\r\n")).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    });
}
