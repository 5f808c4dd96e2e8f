//! An engine that writes the head of an error into its stream.

mod support;

use std::{cell::Cell, rc::Rc};

use httpio::{
    Bytes, StatusCode,
    server::{Reply, Request},
};
use support::{Ending, FakeServer, Setup, run, stream, streamed_chat};

const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 5\r\n\r\n";

/// Streams a token, and then one whose event goes on as the head of an error.
fn failing_stream(req: &Request) -> Reply {
    let id = support::request_id(req);
    let (mut sender, reply) = support::event_stream(&id);
    monoio::spawn(async move {
        let event = support::token_event(&id, " two");
        let failing = [&event[..event.len() - 1], ERROR.as_bytes()].concat();
        for part in [support::token_event(&id, " one"), Bytes::from(failing)] {
            // The router may have given up.
            let _ = sender.send(part).await;
        }
        let _ = sender.finish().await;
    });
    reply
}

/// Guards against the head of an engine's error that callers find within their stream.
#[test]
fn never_relayed() {
    run(async {
        let is_met = Rc::new(Cell::new(false));
        let met = Rc::clone(&is_met);
        let failing = FakeServer::start(async move |req: Request| match req.uri.path() {
            "/v1/chat/completions" if !met.replace(true) => failing_stream(&req),
            "/v1/chat/completions" => stream(&req, &[" one", " two"], Ending::Complete),
            _ => Reply::typed(StatusCode::NOT_FOUND, "text/plain", "unknown stream".into()),
        });
        let router = Setup { engines: vec![failing.addr], ..Setup::default() }.start();
        let answer = router.exchange(streamed_chat()).await;
        assert!(is_met.get(), "no request came to the engine");
        assert!(answer.contains(" one"), "{answer}");
        assert!(!answer.contains("500 Internal"), "{answer}");
        assert!(answer.ends_with("data: [DONE]\n\n"), "another attempt goes on: {answer}");
    });
}
