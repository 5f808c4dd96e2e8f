//! Replies that have no body whatever their head says: to HEAD requests, and with status 204 or 304.

mod support;

use expect_test::{Expect, expect};
use httpio::{
    Limits, Method, StatusCode,
    client::Request as ClientRequest,
    server::{Reply, Request, StopSignals},
};

/// A reply with a streamed body.
fn streamed(status: StatusCode) -> Reply {
    let (mut sender, reply) = Reply::stream(status, Default::default(), 1);
    monoio::spawn(async move {
        // The server may take no body.
        let _ = sender.send("event".into()).await;
        let _ = sender.finish().await;
    });
    reply
}

async fn answer(req: Request) -> Reply {
    match req.uri.path() {
        "/stream" => streamed(StatusCode::OK),
        "/no-content" => streamed(StatusCode::NO_CONTENT),
        "/not-modified" => streamed(StatusCode::NOT_MODIFIED),
        _ => Reply::typed(StatusCode::OK, "text/plain", "next".into()),
    }
}

/// Checks all that a server writes to a request and to the next one on the connection.
fn check(request_line: &str, expected: Expect) {
    let bytes = format!(
        "{request_line} HTTP/1.1\r\nhost: a\r\n\r\nGET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
    );
    support::run(async move {
        let addr = support::serve(Limits::default(), StopSignals::default(), answer);
        let written = support::raw_exchange(addr, bytes).await.replace('\r', "");
        expected.assert_eq(&written);
    });
}

/// Guards against bytes of a body that callers take for the beginning of the next answer.
#[test]
fn no_body_written() {
    check(
        "HEAD /stream",
        expect![[r#"
            HTTP/1.1 200 OK
            content-length: 0

            HTTP/1.1 200 OK
            content-length: 4
            content-type: text/plain
            connection: close

            next"#]],
    );
    check(
        "GET /no-content",
        expect![[r#"
            HTTP/1.1 204 No Content
            content-length: 0

            HTTP/1.1 200 OK
            content-length: 4
            content-type: text/plain
            connection: close

            next"#]],
    );
    check(
        "GET /not-modified",
        expect![[r#"
            HTTP/1.1 304 Not Modified
            content-length: 0

            HTTP/1.1 200 OK
            content-length: 4
            content-type: text/plain
            connection: close

            next"#]],
    );
}

/// Guards against a client that waits for the body of an answer to a HEAD request, or reads the next answer
/// as that body.
#[test]
fn no_body_awaited() {
    support::run(async {
        let reply = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
        let (addr, accepted) = support::raw_server_of(vec![reply; 2]);
        let pool = support::pool(Limits { idle_timeout_ms: 1_000, ..Limits::default() });
        for _ in 0..2 {
            let head = ClientRequest { method: Method::HEAD, ..support::get("/") };
            assert_eq!(support::text(pool.send(addr, head).await).await, "200 OK: ");
        }
        assert_eq!(accepted.get(), 1, "the connection is kept");
    });
}
