//! Guards against invalid requests that reach a backend server, and refusals without a reason and a
//! remedy.

mod support;

use expect_test::{Expect, expect};
use httpio::client::Request;
use support::{Setup, keyless_order, lookup, order, run, unstreamed_chat, with_header};

fn check(request: Request, expected: Expect) {
    run(async {
        let router = Setup::default().start();
        expected.assert_eq(&router.exchange(request).await);
    });
}

#[test]
fn unknown_token() {
    check(
        with_header(unstreamed_chat(), "authorization", "Bearer nobody"),
        expect![[r#"
        401 Unauthorized
        x-outcome: not-run
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"unknown_token","message":"send `authorization: Bearer` with the token of a workspace, or leave it out","outcome":"not-run","retry_after_ms":null}}"#]],
    );
}

#[test]
fn urgent_without_token() {
    let mut request = unstreamed_chat();
    request.headers.remove("authorization");
    check(
        request,
        expect![[r#"
        401 Unauthorized
        x-outcome: not-run
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"class_not_allowed","message":"the class needs the bearer token of a workspace; without one use the lowest class","outcome":"not-run","retry_after_ms":null}}"#]],
    );
}

#[test]
fn order_without_token() {
    let mut request = order("k1");
    request.headers.remove("authorization");
    check(
        request,
        expect![[r#"
        401 Unauthorized
        x-outcome: not-run
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"class_not_allowed","message":"orders need the bearer token of a workspace","outcome":"not-run","retry_after_ms":null}}"#]],
    );
}

#[test]
fn unknown_class() {
    check(
        with_header(unstreamed_chat(), "x-request-class", "vip"),
        expect![[r#"
        404 Not Found
        x-outcome: not-run
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"no_route","message":"no route fits the path and x-request-class; use one of the table of routes","outcome":"not-run","retry_after_ms":null}}"#]],
    );
}

#[test]
fn invalid_request_id() {
    check(
        with_header(unstreamed_chat(), "x-request-id", "a/../b"),
        expect![[r#"
        400 Bad Request
        x-outcome: not-run
        content-type: application/json
        {"error":{"code":"bad_request","message":"send x-request-id as 1 to 64 letters, digits, dots, dashes or underscores","outcome":"not-run","retry_after_ms":null}}"#]],
    );
}

#[test]
fn unknown_model() {
    let body = r#"{"model":"n","messages":[{"role":"user","content":"hi"}]}"#;
    check(
        Request { body: body.into(), ..unstreamed_chat() },
        expect![[r#"
        400 Bad Request
        x-outcome: not-run
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"bad_request","message":"the class is not served by model `n`; ask for `m` or name another class","outcome":"not-run","retry_after_ms":null}}"#]],
    );
}

#[test]
fn malformed_body() {
    check(
        Request { body: "{".into(), ..unstreamed_chat() },
        expect![[r#"
        400 Bad Request
        x-outcome: not-run
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"bad_request","message":"the body is not a JSON object: EOF while parsing an object at line 1 column 1","outcome":"not-run","retry_after_ms":null}}"#]],
    );
    check(
        Request { body: r#"{"model":"m"}"#.into(), ..unstreamed_chat() },
        expect![[r#"
        400 Bad Request
        x-outcome: not-run
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"bad_request","message":"send at least one message","outcome":"not-run","retry_after_ms":null}}"#]],
    );
}

#[test]
fn order_without_key() {
    check(
        keyless_order(),
        expect![[r#"
        400 Bad Request
        x-outcome: not-run
        x-request-id: q1
        content-type: application/json
        {"error":{"code":"idempotency_key_missing","message":"send idempotency-key with 1 to 128 characters, the same one when the order is sent again","outcome":"not-run","retry_after_ms":null}}"#]],
    );
}

#[test]
fn order_without_ledger() {
    check(
        order("k1"),
        expect![[r#"
            503 Service Unavailable
            x-outcome: not-run
            x-request-id: q1
            retry-after: 2
            content-type: application/json
            {"error":{"code":"order_ledger_unreachable","message":"the order ledger cannot be reached, so this send did not run and what became of an earlier one is not known here: send the order again later with the same key","outcome":"not-run","retry_after_ms":2000}}"#]],
    );
}

#[test]
fn server_down() {
    check(
        lookup(),
        expect![[r#"
        503 Service Unavailable
        x-outcome: not-run
        x-request-id: q1
        retry-after: 1
        content-type: application/json
        {"error":{"code":"no_backend_server","message":"the connection could not be opened: Connection refused (os error 111); check that the server is up (not connected); it is not tried again now: come back later","outcome":"not-run","retry_after_ms":1000}}"#]],
    );
}

#[test]
fn missing_host() {
    run(async {
        let router = Setup::default().start();
        let answer = support::raw_exchange(router.addr, "GET /lookup/a HTTP/1.1\r\n\r\n").await;
        expect![[r#"
            HTTP/1.1 400 Bad Request
            content-length: 120
            content-type: application/json
            x-outcome: not-run
            connection: close

            {"error":{"code":"bad_request","message":"send the host header exactly once","outcome":"not-run","retry_after_ms":null}}"#]].assert_eq(&answer.replace('\r', ""));
    });
}
