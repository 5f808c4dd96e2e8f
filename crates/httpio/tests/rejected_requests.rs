//! The server rejects ambiguous, malformed and oversized requests before they reach a handler.

mod support;

use expect_test::{Expect, expect};
use httpio::{
    Limits, StatusCode,
    server::{Reply, StopSignals},
};

fn check(request: &str, expected: Expect) {
    let request = request.to_owned();
    support::run(async move {
        let limits =
            Limits { head_bytes: 200, body_bytes: 20, chunk_bytes: 10, ..Limits::default() };
        let addr = support::serve(limits, StopSignals::default(), async |req| {
            Reply::whole(StatusCode::OK, Default::default(), req.body)
        });
        expected.assert_eq(&support::raw_exchange(addr, request).await.replace('\r', ""));
    });
}

fn check_length(fields: &str, expected: Expect) {
    check(&format!("POST / HTTP/1.1\r\nhost: a\r\n{fields}\r\n\r\n"), expected);
}

#[test]
fn both_lengths() {
    check_length(
        "content-length: 5\r\ntransfer-encoding: chunked",
        expect![[r#"
            HTTP/1.1 400 Bad Request
            content-length: 71
            content-type: text/plain
            connection: close

            both content-length and transfer-encoding are present; send one of them"#]],
    );
}

#[test]
fn duplicate_length() {
    check_length(
        "content-length: 5\r\ncontent-length: 5",
        expect![[r#"
            HTTP/1.1 400 Bad Request
            content-length: 55
            content-type: text/plain
            connection: close

            a length header is present more than once; send it once"#]],
    );
    check_length(
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
        expect![[r#"
            HTTP/1.1 400 Bad Request
            content-length: 55
            content-type: text/plain
            connection: close

            a length header is present more than once; send it once"#]],
    );
}

#[test]
fn oversized_body() {
    check_length(
        "content-length: 21",
        expect![[r#"
            HTTP/1.1 413 Payload Too Large
            content-length: 19
            content-type: text/plain
            connection: close

            send a smaller body"#]],
    );
}

#[test]
fn oversized_chunk() {
    check(
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nB\r\n12345678901\r\n0\r\n\r\n",
        expect![[r#"
            HTTP/1.1 413 Payload Too Large
            content-length: 19
            content-type: text/plain
            connection: close

            send smaller chunks"#]],
    );
}

#[test]
fn oversized_head() {
    check(
        &format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "x".repeat(300)),
        expect![[r#"
            HTTP/1.1 431 Request Header Fields Too Large
            content-length: 31
            content-type: text/plain
            connection: close

            the head is larger than allowed"#]],
    );
}

/// Guards against a caller that sends empty lines without end in place of a head.
#[test]
fn endless_empty_lines() {
    check(
        &"\r\n".repeat(10_000),
        expect![[r#"
        HTTP/1.1 431 Request Header Fields Too Large
        content-length: 31
        content-type: text/plain
        connection: close

        the head is larger than allowed"#]],
    );
}

#[test]
fn invalid_host() {
    check(
        "GET / HTTP/1.1\r\n\r\n",
        expect![[r#"
            HTTP/1.1 400 Bad Request
            content-length: 33
            content-type: text/plain
            connection: close

            send the host header exactly once"#]],
    );
    check(
        "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
        expect![[r#"
            HTTP/1.1 400 Bad Request
            content-length: 33
            content-type: text/plain
            connection: close

            send the host header exactly once"#]],
    );
    check(
        "GET / HTTP/1.1\r\nhost: a b\r\n\r\n",
        expect![[r#"
            HTTP/1.1 400 Bad Request
            content-length: 40
            content-type: text/plain
            connection: close

            send a host header of the form host:port"#]],
    );
}

#[test]
fn unsupported_version() {
    check(
        "GET / HTTP/1.0\r\nhost: a\r\n\r\n",
        expect![[r#"
            HTTP/1.1 505 HTTP Version Not Supported
            content-length: 12
            content-type: text/plain
            connection: close

            use HTTP/1.1"#]],
    );
}

#[test]
fn accepted_requests() {
    check(
        "GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        expect![[r#"
        HTTP/1.1 200 OK
        content-length: 0
        connection: close

    "#]],
    );
    check(
        "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nGET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        expect![[r#"
            HTTP/1.1 200 OK
            content-length: 2

            okHTTP/1.1 200 OK
            content-length: 0
            connection: close

        "#]],
    );
}

#[test]
fn bare_line_feeds() {
    let refused = || {
        expect![[r#"
            HTTP/1.1 400 Bad Request
            content-length: 71
            content-type: text/plain
            connection: close

            a line of the head ends without a carriage return; end lines with CR LF"#]]
    };
    check("GET / HTTP/1.1\nhost: a\n\n", refused());
    // A second request ends as a head should.
    check("GET / HTTP/1.1\nhost: a\n\nGET / HTTP/1.1\r\nhost: a\r\n\r\n", refused());
}
