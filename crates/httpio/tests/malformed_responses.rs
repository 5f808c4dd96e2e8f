//! The client detects malformed, truncated and oversized responses, and does not reuse the
//! connections on which they arrive.

mod support;

use expect_test::{Expect, expect};
use httpio::{Limits, UnsizedBody};

const SMALL: Limits = Limits {
    head_bytes: 200,
    header_count: 8,
    body_bytes: 100,
    chunk_bytes: 40,
    connect_timeout_ms: 1_000,
    head_timeout_ms: 1_000,
    idle_timeout_ms: 1_000,
    write_timeout_ms: 1_000,
    keep_alive_ms: 1_000,
    body_timeout_ms: 1_000,
    unsized_body: UnsizedBody::Refused,
    closing_grace_ms: 0,
};

fn check(reply: &str, expected: Expect) {
    let reply = reply.to_owned();
    support::run(async move {
        let (addr, _) = support::raw_server(reply);
        let pool = support::pool(SMALL);
        expected.assert_eq(&support::text(pool.send(addr, support::get("/")).await).await);
        assert_eq!(pool.idle_count(addr), 0, "the connection must not be reused");
    });
}

#[test]
fn missing_length() {
    check(
        "HTTP/1.1 200 OK\r\n\r\nlost",
        expect![
            "the answer is refused: neither content-length nor chunked coding is present; send one of them (head received)"
        ],
    );
}

#[test]
fn both_lengths() {
    check(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        expect![
            "the answer is refused: both content-length and transfer-encoding are present; send one of them (head received)"
        ],
    );
}

#[test]
fn duplicate_length() {
    check(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\nok",
        expect![
            "the answer is refused: a length header is present more than once; send it once (head received)"
        ],
    );
}

#[test]
fn invalid_length() {
    for length in ["+2", "-2", "2 2", "2,2", "x", "99999999999999999999999"] {
        let reply = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\nok");
        check(
            &reply,
            expect!["the answer is refused: content-length is not a whole number (head received)"],
        );
    }
}

#[test]
fn unknown_coding() {
    check(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nok",
        expect!["the answer is refused: the transfer coding is not `chunked` (head received)"],
    );
}

#[test]
fn truncated_fixed_body() {
    check(
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut",
        expect!["200 OK, then the connection ended before the answer did (head received)"],
    );
}

#[test]
fn truncated_chunked_body() {
    check(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ncut\r\n",
        expect!["200 OK, then the connection ended before the answer did (head received)"],
    );
    check(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ncut",
        expect!["200 OK, then the connection ended before the answer did (head received)"],
    );
    check(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ncut\r\n0\r\n",
        expect!["200 OK, then the connection ended before the answer did (head received)"],
    );
}

#[test]
fn empty_chunk_size() {
    check(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\ncut\r\n\r\n\r\n",
        expect!["200 OK, then the answer is malformed: a chunk is malformed (head received)"],
    );
}

#[test]
fn truncated_head() {
    check("", expect!["the connection ended before the answer did (request sent)"]);
    check(
        "HTTP/1.1 200 OK\r\ncontent-le",
        expect!["the connection ended before the answer did (request sent)"],
    );
}

#[test]
fn malformed_head() {
    check(
        "SMTP ready\r\n\r\n",
        expect!["the answer is malformed: httparse error invalid HTTP version (request sent)"],
    );
}

#[test]
fn oversized_head() {
    let field = "x".repeat(300);
    check(
        &format!("HTTP/1.1 200 OK\r\nx: {field}\r\n\r\n"),
        expect!["the head of the answer is larger than allowed (request sent)"],
    );
    check(
        &format!("HTTP/1.1 200 OK\r\n{}\r\n", "a: b\r\n".repeat(9)),
        expect!["the head of the answer is larger than allowed (head received)"],
    );
}

#[test]
fn oversized_body() {
    check(
        "HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n",
        expect!["the body of the answer is larger than allowed (head received)"],
    );
    let chunk = format!("1E\r\n{}\r\n", "x".repeat(30));
    check(
        &format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}", chunk.repeat(4)),
        expect!["200 OK, then the body of the answer is larger than allowed (head received)"],
    );
}

#[test]
fn oversized_chunk() {
    check(
        &format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n50\r\n{}", "x".repeat(80)),
        expect!["200 OK, then a chunk of the answer is larger than allowed (head received)"],
    );
}

#[test]
fn trailing_bytes() {
    check(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
        expect!["200 OK: ok"],
    );
}

#[test]
fn interim_responses() {
    check(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok",
        expect!["200 OK: ok"],
    );
    check(
        "HTTP/1.1 101 Switching Protocols\r\n\r\n",
        expect![
            "the answer is malformed: it switches to a protocol that was not asked for (request sent)"
        ],
    );
}

/// Checks a client that reads a response without a length up to the end of the connection.
fn check_until_close(reply: &str, expected: Expect) {
    let reply = reply.to_owned();
    support::run(async move {
        let (addr, _) = support::raw_server(reply);
        let pool = support::pool(Limits { unsized_body: UnsizedBody::UntilClose, ..SMALL });
        expected.assert_eq(&support::text(pool.send(addr, support::get("/")).await).await);
        assert_eq!(pool.idle_count(addr), 0, "a closed connection must not be kept");
    });
}

#[test]
fn until_close() {
    check_until_close("HTTP/1.1 200 OK\r\n\r\nwhole", expect!["200 OK: whole"]);
}

#[test]
fn oversized_until_close() {
    let reply = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(101));
    check_until_close(
        &reply,
        expect!["200 OK, then the body of the answer is larger than allowed (head received)"],
    );
}

/// Guards against a server that sends heads of interim responses without end, each of which is small.
#[test]
fn endless_interim_heads() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n".repeat(10_000);
    check(
        &format!("{interim}HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"),
        expect!["the head of the answer is larger than allowed (request sent)"],
    );
}

/// Guards against empty lines without end in place of a head, which the codec skips.
#[test]
fn endless_empty_lines() {
    check(
        &"\r\n".repeat(10_000),
        expect!["the head of the answer is larger than allowed (request sent)"],
    );
}

/// Guards against a 200 with a short body: the client took a body that holds an empty line for a part of
/// a head whose lines end without a carriage return, and discarded it.
#[test]
fn bare_line_feeds() {
    let malformed = || {
        expect![
            "the answer is malformed: a line of the head ends without a carriage return; end lines with CR LF (request sent)"
        ]
    };
    check_until_close("HTTP/1.1 200 OK\n\nfirst\r\n\r\nsecond", malformed());
    check_until_close("HTTP/1.1 200 OK\r\nx: y\n\nfirst\r\n\r\nsecond", malformed());
    check_until_close("HTTP/1.1 200 OK\ncontent-length: 6\n\nfirst\r\n\r\nsecond", malformed());
    check_until_close("HTTP/1.1 200 OK\r\nx: y\n\r\n\r\nsecond", malformed());
    check_until_close("HTTP/1.1 200 OK\r\n\r\nfirst\n\nsecond", expect!["200 OK: first\n\nsecond"]);
}
